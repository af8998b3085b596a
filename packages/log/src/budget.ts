/** Most lines and bytes that are written in a second. */
export interface Bounds {
  linesPerS: number
  bytesPerS: number
}

/** Share of the bounds that routine lines may use; the rest is left to warnings and errors. */
const ROUTINE_SHARE = 0.7
const WINDOW_MS = 1000

export interface Budget {
  /** Decides whether the line of this event is written; one that is not is counted. */
  allows (event: string, isRoutine: boolean): boolean
  /** Takes note of the length of a line that was written. */
  spend (bytes: number): void
  /** Lines by event that were left out in seconds that are over and not taken yet; undefined without any. */
  takeLeftOut (): Map<string, number> | undefined
  /** Lines that were left out since the start, by event. */
  leftOut (): ReadonlyMap<string, number>
}

const add = (counts: Map<string, number>, event: string, by: number): void => {
  counts.set(event, (counts.get(event) ?? 0) + by)
}

/** `now` gives monotonic ms. */
export const create = ({ linesPerS, bytesPerS }: Bounds, now: () => number): Budget => {
  const total = new Map<string, number>()
  let untold = new Map<string, number>()
  let windowStart = now()
  let lines = 0
  let bytes = 0

  const isOver = (): boolean => now() - windowStart >= WINDOW_MS
  return {
    allows: (event, isRoutine) => {
      if (isOver()) {
        windowStart = now()
        lines = 0
        bytes = 0
      }
      const share = isRoutine ? ROUTINE_SHARE : 1
      if (lines < linesPerS * share && bytes < bytesPerS * share) {
        lines++
        return true
      }
      add(untold, event, 1)
      add(total, event, 1)
      return false
    },
    spend: (count) => { bytes += count },
    takeLeftOut: () => {
      if (untold.size === 0 || !isOver()) return undefined
      const taken = untold
      untold = new Map()
      return taken
    },
    leftOut: () => total
  }
}
