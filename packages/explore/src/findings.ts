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
  orphanRetentionMs: 60_000,
  entryBytes: 10_000_000,
  agentBytes: 10_000_000
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
        { at: 0, kind: 'submit', runMs: [20, 20], idempotent: false, issuer: undefined, entry: 3, waitMs: 0 }
      ]
    }
  },
  {
    cause: 'a resubmission did not learn the names of tasks that never started, because a cancellation came first',
    schedule: {
      seed: 1,
      profile,
      storeDownMs: 0,
      events: [
        { at: 584, kind: 'break', a: 0, b: 1 },
        { at: 820, kind: 'submit', runMs: [20, 600], idempotent: false, issuer: undefined, entry: 0, waitMs: 0 },
        { at: 824, kind: 'cancel', job: 0, entry: 3 },
        { at: 825, kind: 'crash', process: 0, silent: false, downMs: 4500 }
      ]
    }
  },
  {
    cause: 'a fenced owner said failed of a lost task after the recovery had said not-run',
    schedule: {
      seed: 1,
      profile,
      storeDownMs: 0,
      events: [
        { at: 0, kind: 'submit', runMs: [20, 20, 20], idempotent: false, issuer: 0, entry: 0, waitMs: 0 },
        { at: 0, kind: 'split', sides: 1, durationMs: 6000 },
        { at: 500, kind: 'resubmit', job: 0, entry: 1 },
        { at: 1943, kind: 'resubmit', job: 0, entry: 1 },
        { at: 4184, kind: 'crash', process: 3, silent: false, downMs: 4500 }
      ]
    }
  },
  {
    cause: 'an owner took a task whose record the agent had dropped by itself for one that never started',
    schedule: {
      seed: 1381333,
      profile: { ...profile, removeAgentAfterMs: 60_000, orphanAfterMs: 6000, orphanRetentionMs: 3000 },
      storeDownMs: 0,
      events: [
        { at: 0, kind: 'submit', runMs: [600, 20], idempotent: false, issuer: 0, entry: 0, waitMs: 0 },
        { at: 4, kind: 'split', sides: 1, durationMs: 9524 },
        { at: 642, kind: 'break', a: 0, b: 4 },
        { at: 2507, kind: 'submit', runMs: [20], idempotent: false, issuer: 9, entry: 0, waitMs: 0 },
        { at: 5760, kind: 'resubmit', job: 0, entry: 1 }
      ]
    }
  },
  {
    cause: 'complete was said from records while the store was down, and the owner gave up the agent after that',
    schedule: {
      seed: 416438076,
      profile: { ...profile, removeAgentAfterMs: 60_000 },
      storeDownMs: 0,
      events: [
        { at: 0, kind: 'submit', runMs: [60, 90], idempotent: false, issuer: 0, entry: 0, waitMs: 0 },
        { at: 6, kind: 'split', sides: 1, durationMs: 12_000 },
        { at: 1500, kind: 'store', fault: 'down', durationMs: 4187 },
        ...[3500, 4000, 4500, 5000].map((at) => ({ at, kind: 'resubmit' as const, job: 0, entry: 1 })),
        ...[2, 3, 4].map((process) => ({ at: 4771, kind: 'crash' as const, process, silent: false, downMs: 10 }))
      ]
    }
  },
  {
    cause: 'a job that waited for memory kept the blocks whose records filled the memory from retiring',
    schedule: {
      seed: 668539294,
      profile: {
        blockLifetimeMs: 3000,
        blockRetentionMs: 5000,
        removeAgentAfterMs: 4000,
        orphanAfterMs: 8000,
        orphanRetentionMs: 2000,
        entryBytes: 14_000,
        agentBytes: 2500
      },
      storeDownMs: 0,
      events: [
        { at: 64, kind: 'submit', runMs: [20, 20, 527, 20], idempotent: false, issuer: 3, entry: 1, waitMs: 0 },
        { at: 82, kind: 'crash', process: 2, silent: false, downMs: 3082 },
        { at: 812, kind: 'conflict', job: 0, entry: 5 },
        { at: 1090, kind: 'submit', runMs: [201, 223, 586], idempotent: false, issuer: 8, entry: 11, waitMs: 5000 },
        { at: 1426, kind: 'submit', runMs: [211, 187, 35, 865, 524], idempotent: true, issuer: 1, entry: 1, waitMs: 0 },
        { at: 1636, kind: 'split', sides: 23, durationMs: 5566 },
        { at: 1958, kind: 'submit', runMs: [42, 73, 80, 155, 177], idempotent: true, issuer: 3, entry: 6, waitMs: 1000 },
        { at: 2270, kind: 'join', role: 'entry' },
        { at: 2529, kind: 'submit', runMs: [553, 413, 293, 645], idempotent: false, issuer: 0, entry: 2, waitMs: 5000 },
        {
          at: 2637, kind: 'submit', runMs: [370, 217, 2725, 2743, 170], idempotent: false, issuer: 9, entry: 9, waitMs: 100
        },
        { at: 2865, kind: 'cancel', job: 8, entry: 4 },
        { at: 2968, kind: 'partition', a: 1, b: 0, durationMs: 4500 },
        { at: 8036, kind: 'pause', process: 1, durationMs: 5543 },
        { at: 11_152, kind: 'partition', a: 1, b: 2, durationMs: 283 },
        { at: 11_160, kind: 'submit', runMs: [470, 373, 252, 136, 61], idempotent: true, issuer: 8, entry: 3, waitMs: 100 }
      ]
    }
  }
]
