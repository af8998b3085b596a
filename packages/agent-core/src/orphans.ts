import type * as types from '@mustarddeck/types'

/** Tracks owner incarnations that have records on this agent and no link to it. */
export interface OrphanTracker {
  /** Updates which owners are linked, and returns the absent ones that are due to be fenced or dropped. */
  check (owners: types.Incarnation[], isLinked: (owner: types.Incarnation) => boolean, now: number): Orphan[]
}

export interface Orphan {
  incarnation: types.Incarnation
  /** `fence`: absent for at least `fenceAfterMs`; `drop`: absent for at least the retention beyond that. */
  action: 'fence' | 'drop'
}

/** `fenceAfterMs`: time without a link before the fence; `retentionMs`: time from there until records are dropped. */
export const create = ({ fenceAfterMs, retentionMs }: { fenceAfterMs: number, retentionMs: number }): OrphanTracker => {
  const absentSince = new Map<types.Incarnation, number>()

  const actionAfter = (absentMs: number): Orphan['action'] | undefined => {
    if (absentMs >= fenceAfterMs + retentionMs) return 'drop'
    return absentMs >= fenceAfterMs ? 'fence' : undefined
  }
  return {
    check: (owners, isLinked, now) => {
      const orphans: Orphan[] = []
      for (const incarnation of owners) {
        if (isLinked(incarnation)) {
          absentSince.delete(incarnation)
          continue
        }
        const firstAbsentAt = absentSince.get(incarnation) ?? now
        absentSince.set(incarnation, firstAbsentAt)
        const action = actionAfter(now - firstAbsentAt)
        if (action) orphans.push({ incarnation, action })
        if (action === 'drop') absentSince.delete(incarnation)
      }
      return orphans
    }
  }
}
