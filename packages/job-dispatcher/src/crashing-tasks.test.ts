import type * as runs from '@mustarddeck/runs'
import { expect } from 'chai'
import * as smallFleet from './testing/small-fleet.ts'

/** Workers that may crash under a task, and starts after that which are one too many. */
const CRASHES = 3
const STARTS_AFTER = 3

describe('a task that crashes the workers that start it', () => {
  it('is not started over and over', async () => {
    const { fleet, pass, site, submit } = await smallFleet.setUp({ workers: 8, runMs: 1000 })
    const { key } = submit({ callerTimeoutMs: 20_000 })
    const task = `${key}.0.0.0` as runs.TaskId
    for (let elapsed = 0; elapsed < 20_000; elapsed += 50) {
      await pass(50)
      for (const { agent, worker } of fleet) {
        if (!worker.running().includes(task)) continue
        worker.restart()
        agent.workerAnnounced(worker.worker(), undefined)
      }
    }
    expect(site.starts.get(task)).to.be.below(CRASHES + STARTS_AFTER)
  })
})
