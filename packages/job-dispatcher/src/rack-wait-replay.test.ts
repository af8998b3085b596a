import { expect } from 'chai'
import * as rackWait from './rack-wait.ts'
import * as rackReplay from './testing/rack-replay.ts'

/** RACK_WAIT_TABLE=full replays all loads, factors and seeds of docs/design/rack-wait.md in one to two minutes. */
const IS_FULL = process.env['RACK_WAIT_TABLE'] === 'full'
const SEEDS = IS_FULL ? [21, 22, 23, 24, 25, 26, 27, 28] : [21]
const LOADS = IS_FULL ? [0.5, 0.7, 0.9, 1.1] : [0.7]
const FAR_FACTORS = IS_FULL ? [1.5, 2, 3] : [2]
const DURATION_MS = 12_000
const POLICIES = [
  new rackWait.NeverWait(), new rackWait.AlwaysWait(), new rackWait.FixedDelay(), new rackWait.ByCost()
]
const WISHES: Array<[rackReplay.Wish, string]> = [['data', 'on the full rack'], ['group', 'in groups'], ['none', 'others']]

type Row = Record<rackReplay.Wish | 'all', { p50: number, p90: number, value: number }>

const mean = (values: number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length

const measure = async (policy: rackWait.Policy, load: number, farFactor: number): Promise<Row> => {
  const results: rackReplay.Result[] = []
  for (const seed of SEEDS) {
    results.push(await rackReplay.replay({ seed, load, farFactor, durationMs: DURATION_MS, policy }))
  }
  expect(results.flatMap(({ violations }) => violations)).to.deep.equal([])
  const meanOf = (select: (result: rackReplay.Result) => rackReplay.Figures): Row['all'] => ({
    p50: Math.round(mean(results.map((result) => select(result).p50))),
    p90: Math.round(mean(results.map((result) => select(result).p90))),
    value: mean(results.map((result) => select(result).value))
  })
  const [data, group, none] = WISHES.map(([wish]) => meanOf(({ byWish }) => byWish[wish]))
  return { data: data!, group: group!, none: none!, all: meanOf(({ all }) => all) }
}

describe('waits for a full rack, replayed', function () {
  this.timeout(IS_FULL ? 600_000 : 30_000)

  // Means over the seeds; `value` counts 1 for an answer within the objective and 0.2 for a later one.
  it('by cost serve callers of the rack better than no wait, at no cost to others', async () => {
    const columns = WISHES.map(([, title]) => `${title} p50 p90 value`).join(' | ')
    const lines = [`| far_x | load | policy | ${columns} | all value |`, '|---|---|---|---|---|---|---|']
    for (const farFactor of FAR_FACTORS) {
      for (const load of LOADS) {
        const rows = new Map<string, Row>()
        for (const policy of POLICIES) rows.set(policy.name, await measure(policy, load, farFactor))
        for (const [name, row] of rows) {
          const cells = WISHES.map(([wish]) => `${row[wish].p50} ${row[wish].p90} ${row[wish].value.toFixed(3)}`)
          lines.push(`| ${farFactor} | ${load} | ${name} | ${cells.join(' | ')} | ${row.all.value.toFixed(3)} |`)
        }
        const [never, byCost] = [rows.get('never')!, rows.get('cost')!]
        expect(byCost.data.value).to.be.at.least(never.data.value)
        expect(byCost.none.value).to.be.at.least(never.none.value - 0.01)
      }
    }
    process.stdout.write(`${lines.join('\n')}\n`)
  })
})
