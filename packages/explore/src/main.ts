import * as fs from 'node:fs'
import yargs from 'yargs'
import * as checks from './check.ts'
import * as coverages from './coverage.ts'
import * as real from './real-cores.ts'
import * as runs from './run.ts'
import * as searches from './search.ts'

const print = (text: string): void => { process.stdout.write(`${text}\n`) }

/** Prints every message of one schedule, given as JSON, and what it broke. */
const replay = (file: string): void => {
  const record = runs.run(JSON.parse(fs.readFileSync(file, 'utf8')), real.realCores, { traced: true })
  record.trace.forEach((line) => print(line))
  for (const { rule, detail } of checks.check(record)) print(`${rule}: ${detail}`)
}

const options = await yargs(process.argv.slice(2)).scriptName('explore')
  .option('runs', { type: 'number', default: 2000, describe: 'schedules to run' })
  .option('seed', { type: 'number', describe: 'seed of the schedules; a random one by default' })
  .option('shrink', { type: 'number', default: 60, describe: 'longest time for shrinking a finding, in s' })
  .option('replay', { type: 'string', describe: 'file with one schedule as JSON, to be run with all its messages' })
  .strict().parse()

if (options.replay) {
  replay(options.replay)
} else {
  const seed = options.seed ?? Math.floor(Math.random() * 0x7fffffff)
  print(`seed ${seed}, up to ${options.runs} runs`)
  const coverage = coverages.create()
  const result = searches.search({
    cores: real.realCores, seed, count: options.runs, shrinkMs: options.shrink * 1000, coverage
  })
  coverage.lines().forEach((line) => print(line))
  print(`${result.runs} runs in ${(result.elapsedMs / 1000).toFixed(1)} s, findings: ${result.finding ? 1 : 0}`)
  if (result.finding) {
    print(searches.describeFinding(result.finding))
    process.exitCode = 1
  }
}
