import * as esbuild from 'esbuild'
import * as bundling from './bundle.ts'

// Bundles the child processes as the build does, so that no loader of TypeScript adds to what is measured.
await esbuild.build({
  entryPoints: ['packages/live-bench/src/child.ts'], outfile: 'out/live-bench/child.cjs', ...bundling.options
})
await import('../packages/live-bench/src/main.ts')
