/** Maximum number of lines and bytes written per second. */
export interface Bounds {
  linesPerS: number
  bytesPerS: number
}

/** Share of the bounds available to debug and info lines; the rest is reserved for warnings and errors. */
const ROUTINE_SHARE = 0.7
const WINDOW_MS = 1000

export interface Budget {
  /** Returns whether a line of this event may be written. A line that may not is counted as left out. */
  admit (event: string, isRoutine: boolean): boolean
  /** Adds the length of a written line to the current window. */
  recordBytes (bytes: number): void
  /**
   * Returns the lines left out since the last call, by event, and resets their counts. Returns undefined if there are
   * none or the current window is not over.
   */
  takeUnreported (): Map<string, number> | undefined
  /** Lines left out since the start, by event. */
  leftOut (): ReadonlyMap<string, number>
}

const add = (counts: Map<string, number>, event: string, increment: number): void => {
  counts.set(event, (counts.get(event) ?? 0) + increment)
}

/** `now` returns monotonic time in ms. */
export const create = ({ linesPerS, bytesPerS }: Bounds, now: () => number): Budget => {
  const total = new Map<string, number>()
  let unreported = new Map<string, number>()
  let windowStartMs = now()
  let windowLines = 0
  let windowBytes = 0

  const isWindowOver = (): boolean => now() - windowStartMs >= WINDOW_MS
  return {
    admit: (event, isRoutine) => {
      if (isWindowOver()) {
        windowStartMs = now()
        windowLines = 0
        windowBytes = 0
      }
      const share = isRoutine ? ROUTINE_SHARE : 1
      if (windowLines < linesPerS * share && windowBytes < bytesPerS * share) {
        windowLines++
        return true
      }
      add(unreported, event, 1)
      add(total, event, 1)
      return false
    },
    recordBytes: (count) => { windowBytes += count },
    takeUnreported: () => {
      if (unreported.size === 0 || !isWindowOver()) return undefined
      const reported = unreported
      unreported = new Map()
      return reported
    },
    leftOut: () => total
  }
}
