import * as fc from 'fast-check'
import type * as types from '@mustarddeck/types'
import * as quotas from './quotas.ts'

const SEED = 20_241_204
const SLOTS = 30
const LIMIT_MS = 2000
const TEAM = 'team' as types.TeamName

describe(`team quotas, seed ${SEED}`, () => {
  // Guards against entries that together exceed a quota because slots move between them while tasks run.
  it('hold across entries without messages between them, however slots move', () => {
    const step = fc.record({
      entry: fc.nat(2),
      other: fc.nat(2),
      slots: fc.nat(10),
      starts: fc.nat(6),
      runMs: fc.nat(LIMIT_MS),
      afterMs: fc.nat(700)
    })
    fc.assert(fc.property(fc.integer({ min: 1, max: 20 }), fc.array(step, { maxLength: 60 }), (quota, steps) => {
      const entries = [0, 1, 2].map((index) => quotas.create({ index, count: 3 }))
      const rules = { teams: [{ name: TEAM, maxRunning: quota }], taskTypes: [{ timeLimitMs: LIMIT_MS }] }
      for (const entry of entries) entry.configure(rules as unknown as types.Rules)
      const held = [10, 10, 10]
      let running: { entry: number, endAt: number }[] = []
      let now = 0
      const observe = (): void => entries.forEach((entry, index) => entry.observe(held[index]! / SLOTS, now))
      observe()
      for (const { entry, other, slots, starts, runMs, afterMs } of steps) {
        now += afterMs
        for (const task of running) if (task.endAt <= now) entries[task.entry]!.ended(TEAM)
        running = running.filter((task) => task.endAt > now)
        const moved = Math.min(slots, held[other]!)
        held[other]! -= moved
        held[entry]! += moved
        observe()
        for (let count = 0; count < starts && entries[entry]!.mayStart(TEAM); count++) {
          entries[entry]!.started(TEAM)
          running.push({ entry, endAt: now + runMs })
        }
        if (running.length > quota) return false
      }
      return true
    }), { seed: SEED, numRuns: 2000 })
  })
})
