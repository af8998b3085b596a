import * as formerPolicy from './former-policy.ts'
import * as presentPolicy from './present-policy.ts'
import * as replay from './replay.ts'

const SEEDS = [1, 2, 3, 4, 5]
const POLICIES = { former: formerPolicy.create, present: presentPolicy.create }
const FAULT_TIMES = [0, replay.DURATION_MS / 2]
const NO_FAULT = 1e9

const { patio, nkabom } = replay.LOADS
const LOADS: Record<string, replay.Load> = {
  patio, nkabom, 'patio, racks': { ...patio, rackShare: 0.3 }, 'nkabom, racks': { ...nkabom, rackShare: 0.3 }
}

const median = (values: number[]): number => values.sort((left, right) => left - right)[values.length >> 1] ?? NaN
const sum = (values: number[]): number => values.reduce((total, value) => total + value, 0)

const row = (cells: Array<string | number>): void => { process.stdout.write(`| ${cells.join(' | ')} |\n`) }
const play = (
  load: replay.Load, fault: replay.Fault, faultAt: number, policy: keyof typeof POLICIES
): replay.Result[] =>
  SEEDS.map((seed) => replay.run({ load, fault, faultAt, seed, createPolicy: POLICIES[policy] }))

row([
  'load', 'policy', 'worker-out of healthy workers', 'median error', 'mean error', 'stopped',
  'of these could end in time', 'jobs completed'
])
row(Array(8).fill('---'))
for (const [name, load] of Object.entries(LOADS)) {
  for (const fault of ['none', 'cold'] as const) {
    for (const policy of ['former', 'present'] as const) {
      const results = play(load, fault, fault === 'cold' ? FAULT_TIMES[1]! : NO_FAULT, policy)
      const errors = results.flatMap((result) => result.errors)
      row([
        fault === 'cold' ? `${name}, 5 s cold` : name,
        policy,
        results.map(({ wrongEvents }) => wrongEvents).join(' '),
        `${(100 * median(errors)).toFixed(1)}%`,
        `${(100 * sum(errors) / errors.length).toFixed(1)}%`,
        sum(results.map(({ stopped }) => stopped)),
        sum(results.map(({ stoppedInVain }) => stoppedInVain)),
        `${sum(results.map(({ completed }) => completed))} of ${sum(results.map((result) => result.jobs))}`
      ])
    }
  }
}
process.stdout.write('\n')
row(['load', 'fault', 'from', 'policy', 'runs ended there', 'runs ordered there', 'ms', 'worker-out of healthy workers'])
row(Array(8).fill('---'))
for (const name of ['patio', 'nkabom']) {
  for (const fault of ['slow', 'fail', 'fail-some', 'hang'] as const) {
    for (const faultAt of FAULT_TIMES) {
      for (const policy of ['former', 'present'] as const) {
        const results = play(LOADS[name]!, fault, faultAt, policy)
        const detections = results.map(({ detection }) => detection)
        const list = (field: 'ended' | 'ordered' | 'ms'): string =>
          detections.map((detection) => detection?.[field] ?? '-').join(' ')
        row([
          name, fault, `${faultAt / 1000} s`, policy, list('ended'), list('ordered'), list('ms'),
          results.map(({ wrongEvents }) => wrongEvents).join(' ')
        ])
      }
    }
  }
}
