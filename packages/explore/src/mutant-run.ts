import * as path from 'node:path'
import * as url from 'node:url'
import * as esbuild from 'esbuild'
import * as fc from 'fast-check'
import * as events from './events.ts'
import * as foreign from './foreign-messages.ts'
import type * as mutants from './mutants.ts'
import * as real from './real-cores.ts'
import type * as runs from './run.ts'
import * as searches from './search.ts'

export interface Verdict {
  caught: boolean
  runs: number
  elapsedMs: number
  /** The first rule that was broken. */
  rule?: string
}

const PACKAGES = path.resolve(import.meta.dirname, '../..')
const OUT = path.resolve(PACKAGES, '../out/mutants')

/** Bundles the cores with the changed source file and returns them; the text to be replaced must occur once. */
const build = async (name: string, { file, find, replace }: mutants.SourceChange): Promise<runs.Cores> => {
  const outfile = path.join(OUT, `${name.replace(/[^a-z]+/g, '-')}.mjs`)
  const target = path.join(PACKAGES, file)
  let count = 0
  const change: esbuild.Plugin = {
    name: 'mutation',
    setup: ({ onLoad }) => {
      onLoad({ filter: /\.ts$/ }, async (args) => {
        const { readFile } = await import('node:fs/promises')
        const source = await readFile(args.path, 'utf8')
        if (path.resolve(args.path) !== target) return { contents: source, loader: 'ts' }
        count = source.split(find).length - 1
        return { contents: source.replace(find, replace), loader: 'ts' }
      })
    }
  }
  await esbuild.build({
    entryPoints: [path.join(import.meta.dirname, 'real-cores.ts')],
    bundle: true,
    platform: 'node',
    format: 'esm',
    outfile,
    plugins: [change],
    logLevel: 'error'
  })
  if (count !== 1) throw new Error(`the text that mutant "${name}" replaces occurs ${count} times in ${file}`)
  const module = await import(url.pathToFileURL(outfile).href) as typeof real
  return module.realCores
}

/** Runs the check that is meant to notice the mutant, with at most `count` runs. */
export const run = async (
  mutant: mutants.Mutant, { seed, count }: { seed: number, count: number }
): Promise<Verdict> => {
  const base = mutant.source ? await build(mutant.name, mutant.source) : real.realCores
  const cores = mutant.wrap ? mutant.wrap(base) : base
  if (mutant.by === 'schedules') {
    const schedules = mutant.schedules ?? events.schedule
    const { runs: done, elapsedMs, finding } = searches.search({ cores, seed, count, shrinkMs: 0, schedules })
    return { caught: finding !== undefined, runs: done, elapsedMs, rule: finding?.violations[0]?.rule }
  }
  const startedAt = performance.now()
  const details = fc.check(
    fc.property(foreign.sequences, (steps) => foreign.violationsOf(steps, cores.agent).length === 0),
    { seed, numRuns: count, endOnFailure: true })
  const rule = details.counterexample ? foreign.violationsOf(details.counterexample[0], cores.agent)[0] : undefined
  return { caught: details.failed, runs: details.numRuns, elapsedMs: performance.now() - startedAt, rule }
}
