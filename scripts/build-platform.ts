import * as path from 'node:path'
import * as url from 'node:url'
import * as esbuild from 'esbuild'
import * as bundling from './bundle.ts'

// Builds target/mustarddeck.cjs: the processes that run on the users' platform, in one file.

const root = url.fileURLToPath(new URL('..', import.meta.url))

await esbuild.build({
  entryPoints: [path.join(root, 'platform/src/main.ts')],
  outfile: path.join(root, 'target/mustarddeck.cjs'),
  ...bundling.options
})
