import * as fs from 'node:fs'
import * as measurements from './measurements.ts'
import * as plot from './plot.ts'
import * as series from './series.ts'

const OUT = 'out/capacity'

const number = (value: number): string => Number(value.toPrecision(4)).toString()

const describe = ({ id, x, y, points, fit }: series.Fitted): string => {
  const measured = points.map((point) => `${number(point.x)}:${number(point.y)}`).join(' ')
  const line = `${number(fit.intercept)} + ${number(fit.slope)} ${y}/${x}, r2 ${fit.r2.toFixed(3)}, exponent ${fit.exponent.toFixed(2)}`
  return `${id.padEnd(24)} ${measured}\n${''.padEnd(24)} ${line}\n`
}

fs.mkdirSync(OUT, { recursive: true })
const results = (await measurements.run(measurements.FULL)).map(series.fitted)
for (const result of results) {
  process.stdout.write(describe(result))
  fs.writeFileSync(`${OUT}/${result.id}.svg`, plot.draw(result))
}
fs.writeFileSync('out/capacity.json', `${JSON.stringify(results, undefined, 2)}\n`)
