import * as fs from 'node:fs'
import * as path from 'node:path'
import yargs from 'yargs'
import * as helpers from 'yargs/helpers'
import * as ablation from './ablation.ts'
import * as compares from './compare.ts'
import * as reports from './report.ts'
import * as scenarios from './scenarios.ts'
import * as workload from './workload.ts'

const HISTORY = path.join(import.meta.dirname, '..', 'history')

const options = yargs(helpers.hideBin(process.argv))
  .option('seed', { type: 'number', default: 7, describe: 'seed of the workload and of all choices' })
  .option('seconds', { type: 'number', default: 130, describe: 'virtual duration of each scenario' })
  .option('only', { type: 'string', default: '', describe: 'part of the names of the scenarios to run' })
  .option('ablations', { type: 'boolean', default: true, describe: 'also run the ablations' })
  .option('out', { type: 'string', default: 'packages/bench/out', describe: 'directory of the report' })
  .option('record', { type: 'string', describe: 'date and commit, such as 2026-12-04-0579723, under which the figures are recorded' })
  .strict()
  .parseSync()

/** The latest record in `history/`, except the one that this run writes. */
const readOlder = (): reports.BenchmarkRecord | undefined => {
  const files = fs.existsSync(HISTORY) ? fs.readdirSync(HISTORY).filter((file) => file.endsWith('.json')) : []
  const names = files.filter((file) => file !== `${options.record}.json`).sort()
  return names.length > 0 ? JSON.parse(fs.readFileSync(path.join(HISTORY, names.at(-1)!), 'utf8')) : undefined
}
const allScenarios = scenarios.all(options.seconds * 1000)
const runOptions = workload.DEPLOYMENTS.map((deployment) => ({ deployment, seed: options.seed }))
const selectedScenarios = allScenarios.filter(({ name }) => name.includes(options.only))

const runAblations = (): reports.AblationResult[] => runOptions.flatMap((setting) =>
  ablation.ABLATIONS.flatMap(({ choice, scenarios: names, variants }) =>
    selectedScenarios.filter(({ name }) => names.includes(name)).flatMap((scenario) => variants.map((variant) => ({
      choice,
      scenario: scenario.name,
      deployment: setting.deployment.name,
      variant: variant.name,
      figures: compares.ownFigures(
        { ...scenario, ruleChange: { ...scenario.ruleChange, ...variant.ruleChange } },
        { ...setting, policy: variant.policy }
      )
    })))))

const older = readOlder()
const record: reports.BenchmarkRecord = {
  name: options.record ?? 'working tree',
  comparisons: runOptions.flatMap((setting) =>
    selectedScenarios.map((scenario) => compares.compare(scenario, setting))),
  ablations: options.ablations ? runAblations() : []
}
fs.mkdirSync(options.out, { recursive: true })
fs.writeFileSync(path.join(options.out, 'report.json'), JSON.stringify(record, null, 1))
fs.writeFileSync(path.join(options.out, 'report.html'), reports.page(record, older))
if (options.record) {
  fs.mkdirSync(HISTORY, { recursive: true })
  fs.writeFileSync(path.join(HISTORY, `${options.record}.json`), JSON.stringify({ ...record, ablations: [] }))
}
const output = [reports.table(reports.rows(record, older))]
if (record.ablations.length > 0) output.push('', reports.table(reports.ablationRows(record)))
output.push('', `report: ${path.join(options.out, 'report.html')}`)
process.stdout.write(`${output.join('\n')}\n`)
