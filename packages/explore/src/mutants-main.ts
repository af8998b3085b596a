import yargs from 'yargs'
import * as mutantRun from './mutant-run.ts'
import * as mutants from './mutants.ts'

const print = (text: string): void => { process.stdout.write(`${text}\n`) }

const options = await yargs(process.argv.slice(2)).scriptName('mutants')
  .option('runs', { type: 'number', default: 5000, describe: 'most runs per mutant' })
  .option('seed', { type: 'number', default: 20261204 })
  .option('only', { type: 'string', describe: 'part of the names of the mutants to run' })
  .strict().parse()

print(`seed ${options.seed}, up to ${options.runs} runs per mutant`)
let missed = 0
for (const mutant of mutants.mutants) {
  if (options.only && !mutant.name.includes(options.only)) continue
  const verdict = await mutantRun.run(mutant, { seed: options.seed, count: options.runs })
  if (!verdict.caught) missed++
  const time = `${verdict.runs} runs, ${(verdict.elapsedMs / 1000).toFixed(1)} s`
  print(`${verdict.caught ? 'caught' : 'MISSED'}  ${mutant.name} (${time})${verdict.rule ? `: ${verdict.rule}` : ''}`)
}
if (missed > 0) process.exitCode = 1
