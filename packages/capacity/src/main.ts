import * as fs from 'node:fs'
import * as os from 'node:os'
import * as bundle from './bundle.ts'
import * as figures from './figures.ts'
import * as live from './live.ts'
import * as measurements from './measurements.ts'
import * as plot from './plot.ts'
import * as series from './series.ts'

const OUT = 'out/capacity'

const number = (value: number): string => Number(value.toPrecision(4)).toString()

const describe = ({ id, x, y, points, fit }: series.Fitted): string => {
  const measured = points.map((point) => `${number(point.x)}:${number(point.y)}`).join(' ')
  const line = `${number(fit.intercept)} + ${number(fit.slope)} ${y}/${x}, r2 ${fit.r2.toFixed(3)}, exponent ${fit.exponent.toFixed(2)}`
  return `${id.padEnd(26)} ${measured}\n${''.padEnd(26)} ${line}\n`
}
const row = (figure: figures.Figure): string => {
  const { role, name, value, unit, limit, from } = figure
  const bound = limit === undefined ? '' : number(limit)
  return `| ${[role, name, `${number(value)} ${unit}`.trim(), bound, figures.verdict(figure), from.join(', ')].join(' | ')} |\n`
}

fs.mkdirSync(OUT, { recursive: true })
const all = new Map<string, series.Fitted>()
const add = (results: series.Series[]): void => {
  for (const result of results.map(series.fitted)) {
    all.set(result.id, result)
    process.stdout.write(describe(result))
    fs.writeFileSync(`${OUT}/${result.id}.svg`, plot.draw(result))
  }
}
const load = os.loadavg()[0]!
await bundle.build()
const runtime = await live.bareRuntime()
add(await measurements.run(measurements.FULL))
add(await live.agentByEntries([1, 2, 4, 8]))
add(await live.agentByRate([5, 10, 23, 46]))
add(await live.entryByTasks([1, 4, 10, 40]))
add(await live.entryByAgents([100, 200, 400, 800]))
const sizes = figures.work(all)
const { anonymousMb, residentMb } = runtime
process.stdout.write(`\nruntime alone: ${number(anonymousMb)} MB anonymous, ${number(residentMb)} MB resident\n`)
process.stdout.write(`${os.cpus().length} cores, Node ${process.version}, load average ${number(load)} before the run\n\n`)
process.stdout.write('| role | figure | at target | limit | | from |\n|---|---|---|---|---|---|\n')
for (const size of sizes) process.stdout.write(row(size))
const machine = { cores: os.cpus().length, node: process.version, load }
const json = { machine, runtime, series: [...all.values()], figures: sizes }
fs.writeFileSync('out/capacity.json', `${JSON.stringify(json, undefined, 2)}\n`)
