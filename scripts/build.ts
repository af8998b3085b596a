import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as url from 'node:url'
import * as esbuild from 'esbuild'
import * as postject from 'postject'
import * as bundling from './bundle.ts'

// Builds dist/mustarddeck, a Node single executable application: one bundle injected into a copy of the Node binary.

/** Fuse in the Node executable that postject flips, so that Node runs the injected bundle. */
const SENTINEL = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2'
const RESOURCE = 'NODE_SEA_BLOB'

const root = url.fileURLToPath(new URL('..', import.meta.url))
const dist = path.join(root, 'dist')
const bundle = path.join(dist, 'mustarddeck.cjs')
const blob = path.join(dist, 'mustarddeck.blob')
const executable = path.join(dist, 'mustarddeck')

/** Sample declarations as embedded assets, by the path that the program passes to `sea.getAsset`. */
const assets = (): Record<string, string> => Object.fromEntries(['corkbook', 'benchdesk'].flatMap((sample) =>
  fs.readdirSync(path.join(root, 'examples', sample)).map((file) => {
    const name = `examples/${sample}/${file}`
    return [name, path.join(root, name)]
  })))

await esbuild.build({
  entryPoints: [path.join(root, 'packages/mustarddeck/src/main.ts')],
  outfile: bundle,
  ...bundling.options
})
const config = path.join(dist, 'sea.json')
fs.writeFileSync(config, JSON.stringify({
  main: bundle, output: blob, disableExperimentalSEAWarning: true, useCodeCache: true, assets: assets()
}))
childProcess.execFileSync(process.execPath, ['--experimental-sea-config', config], { stdio: 'inherit' })
fs.copyFileSync(process.execPath, executable)
await postject.inject(executable, RESOURCE, fs.readFileSync(blob), { sentinelFuse: SENTINEL })
fs.chmodSync(executable, 0o755)
process.stdout.write(`${executable}: ${(fs.statSync(executable).size / 2 ** 20).toFixed(1)} MiB\n`)
