import * as fs from 'node:fs'
import * as nodeModule from 'node:module'
import * as path from 'node:path'
import * as url from 'node:url'
import * as vm from 'node:vm'
import * as esbuild from 'esbuild'
import * as bundling from './bundle.ts'

// Builds target/mustarddeck.cjs, which starts entries and agents on users' platforms from one bundle. V8's code cache
// is stored beside the bundle, since callers wait while a process restarts after a failure. The operator's commands are
// in a separate bundle, which entries and agents do not load.

const root = url.fileURLToPath(new URL('..', import.meta.url))
const target = path.join(root, 'target')
const bundle = path.join(target, 'bundle.cjs')
const cache = path.join(target, 'bundle.cache')

/** Runs the bundle as a CommonJS module. V8 rejects a code cache of another Node version and compiles anew. */
const LOADER = `'use strict'
if (process.argv[2] !== 'entry' && process.argv[2] !== 'agent') {
  require('./operator.cjs').run(process.argv.slice(2), { line: (text) => console.log(text) })
    .then((code) => { process.exitCode = code })
  return
}
const fs = require('node:fs')
const path = require('node:path')
const vm = require('node:vm')
const file = path.join(__dirname, 'bundle.cjs')
const cachedData = fs.readFileSync(path.join(__dirname, 'bundle.cache'))
const script = new vm.Script(fs.readFileSync(file, 'utf8'), { filename: file, cachedData })
script.runInThisContext()(require, module, exports, file, __dirname)
module.exports.main(process.argv[2])
`

await esbuild.build({
  entryPoints: [path.join(root, 'platform/src/main.ts')],
  outfile: bundle,
  ...bundling.options
})
await esbuild.build({
  entryPoints: [path.join(root, 'platform/src/operator.ts')],
  outfile: path.join(target, 'operator.cjs'),
  ...bundling.options
})
const source = `(function (require, module, exports, __filename, __dirname) {${fs.readFileSync(bundle, 'utf8')}\n})`
fs.writeFileSync(bundle, source)
const script = new vm.Script(source, { filename: bundle })
// The code cache holds only functions that were compiled: running the bundle compiles those that load the modules.
const loaded = { exports: {} }
script.runInThisContext()(nodeModule.createRequire(bundle), loaded, loaded.exports, bundle, target)
fs.writeFileSync(cache, script.createCachedData())
fs.writeFileSync(path.join(target, 'mustarddeck.cjs'), LOADER)
