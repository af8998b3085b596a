import type * as types from '@mustarddeck/types'

/** Owner incarnations that have records here and no link. */
export interface Orphans {
  /** Notes which owners have a link now and returns those whose records may be dropped. */
  check (owners: types.Incarnation[], isLinked: (owner: types.Incarnation) => boolean, now: number): Orphan[]
}

export interface Orphan {
  incarnation: types.Incarnation
  /** `fence`: absent for long; `drop`: fenced for longer than the retention. */
  action: 'fence' | 'drop'
}

/** `afterMs`: time without a link before the fence; `retentionMs`: time from there until the records are dropped. */
export const create = ({ afterMs, retentionMs }: { afterMs: number, retentionMs: number }): Orphans => {
  const absentSince = new Map<types.Incarnation, number>()

  const actionAt = (absentMs: number): Orphan['action'] | undefined => {
    if (absentMs >= afterMs + retentionMs) return 'drop'
    return absentMs >= afterMs ? 'fence' : undefined
  }
  return {
    check: (owners, isLinked, now) => {
      const orphans: Orphan[] = []
      for (const incarnation of owners) {
        if (isLinked(incarnation)) {
          absentSince.delete(incarnation)
          continue
        }
        const since = absentSince.get(incarnation) ?? now
        absentSince.set(incarnation, since)
        const action = actionAt(now - since)
        if (action) orphans.push({ incarnation, action })
        if (action === 'drop') absentSince.delete(incarnation)
      }
      return orphans
    }
  }
}
