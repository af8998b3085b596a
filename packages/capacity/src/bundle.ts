import * as esbuild from 'esbuild'
import * as bundling from '../../../scripts/bundle.ts'

/** Bundles the child processes of the live benchmark as the build does, so that no loader adds to what is measured. */
export const build = async (): Promise<void> => {
  await esbuild.build({
    entryPoints: ['packages/live-bench/src/child.ts'], outfile: 'out/live-bench/child.cjs', ...bundling.options
  })
}
