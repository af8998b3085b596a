import { expect } from 'chai'
import * as retryTimes from './retry-times.ts'
import * as overload from './testing/overload.ts'
import * as presentAdmission from './testing/present-admission.ts'

const SEEDS = [1, 2, 3]
const scenarioOf = (name: string): overload.Scenario => overload.SCENARIOS.find((scenario) => scenario.name === name)!
const replays = (name: string, options: Partial<overload.Options> = {}): overload.Result[] =>
  SEEDS.map((seed) => overload.replay({ scenario: scenarioOf(name), seed, callerTimeoutMs: 3000, ...options }))
const mean = (results: overload.Result[], pick: (result: overload.Result) => number): number =>
  results.reduce((sum, result) => sum + pick(result), 0) / results.length
const served = ({ inTime, late, jobs }: overload.Counts): number => (inTime + late) / jobs
const BEFORE = { dispatcher: { admission: presentAdmission.create } }

describe('admission under overload', () => {
  // The policy before it scored 0.88, 0.93 and 0.81 here, and 0.79, 0.85 and 0.70 in the worst window.
  for (const { name, gain, windowGain } of [
    { name: 'burst of queue 2', gain: 0.04, windowGain: 0.06 },
    { name: 'burst of queue 0', gain: 0.015, windowGain: 0.03 },
    { name: 'workers leave in a burst', gain: 0.06, windowGain: 0.08 }
  ]) {
    it(`serves more jobs in time than division of the waiting work by the share: ${name}`, () => {
      const [before, after] = [replays(name, BEFORE), replays(name)]
      expect(mean(after, ({ score }) => score)).to.be.at.least(mean(before, ({ score }) => score) + gain)
      expect(mean(after, ({ worstWindow }) => worstWindow))
        .to.be.at.least(mean(before, ({ worstWindow }) => worstWindow) + windowGain)
    })
  }

  // Refusals while capacity is free would cost callers on every day.
  it('serves nearly all jobs of a calm day in time', () => {
    expect(mean(replays('calm day'), ({ score }) => score)).to.be.at.least(0.995)
  })

  // All-or-nothing starts alone leave the largest tenth 0.2 and 0.3 of what their queue gets.
  it('serves the largest jobs of the least urgent queue nearly half as often as the whole queue', () => {
    for (const name of ['burst of queue 2', 'workers leave in a burst']) {
      const results = replays(name)
      const queue = mean(results, ({ queues }) => served(queues[2]!))
      expect(mean(results, ({ largest }) => served(largest[2]!))).to.be.at.least(0.4 * queue)
      expect(mean(results, ({ large }) => served(large[2]!))).to.be.at.least(0.5 * queue)
    }
  })

  // With strict priority, 0.01 of these jobs are answered when their callers wait 1.5 s.
  it('does not let the least urgent queue starve when the others fill all workers', () => {
    const results = replays('4 times the load', { callerTimeoutMs: 1500 })
    expect(mean(results, ({ queues }) => served(queues[2]!))).to.be.at.least(0.04)
  })
})

describe('callers that obey the retry time', () => {
  const scenario = { ...scenarioOf('workers leave in a burst'), durationMs: 16_000 }
  const { fromMs, durationMs } = scenario.burst!
  /** Largest work submitted in a second after the burst, relative to the capacity. */
  const laterPeak = (options: Partial<overload.Options>): number => {
    const results = replays('', { scenario, retries: true, ...options })
    const seconds = Array.from({ length: 16 }, (_, second) => mean(results, ({ offered }) => offered[second] ?? 0))
    return Math.max(...seconds.slice((fromMs + durationMs) / 1000, scenario.durationMs / 1000))
  }

  // With 1 s for every caller, 1.4 to 2.2 times the capacity is submitted in each of the 17 s after the burst.
  it('make no second peak after a burst', () => {
    const fixed: retryTimes.RetryTimes = { next: () => 1000 }
    expect(laterPeak({ dispatcher: { retryTimes: fixed } })).to.be.at.least(1.8)
    expect(laterPeak({})).to.be.at.most(1.25)
  })
})
