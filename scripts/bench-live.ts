import * as esbuild from 'esbuild'
import * as bundling from './bundle.ts'

// Bundles the child processes with the options of the build, so that no TypeScript loader affects the measurements.
await esbuild.build({
  entryPoints: ['packages/live-bench/src/child.ts'], outfile: 'out/live-bench/child.cjs', ...bundling.options
})
await import('../packages/live-bench/src/main.ts')
