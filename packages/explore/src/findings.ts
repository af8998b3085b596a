import type * as events from './events.ts'

/** A schedule that once broke a promise, shrunk, with the cause that it had. */
export interface Finding {
  cause: string
  schedule: events.Schedule
}

const profile: events.Profile = {
  blockLifetimeMs: 60_000,
  blockRetentionMs: 60_000,
  removeAgentAfterMs: 4000,
  orphanAfterMs: 60_000,
  orphanRetentionMs: 60_000
}

export const findings: Finding[] = [
  {
    cause: 'a task without a record after its link was replaced was taken off the queue for good',
    schedule: {
      seed: 1,
      profile,
      storeDownMs: 0,
      events: [
        { at: 0, kind: 'pause', process: 2, durationMs: 3028 },
        { at: 0, kind: 'submit', runMs: [20, 20], issuer: undefined, entry: 3, waitMs: 0 }
      ]
    }
  }
]
