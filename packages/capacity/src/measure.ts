import * as errors from '@mustarddeck/errors'
import * as v8 from 'node:v8'
import * as vm from 'node:vm'
import * as statistics from 'simple-statistics'

v8.setFlagsFromString('--expose-gc')
const collect = vm.runInNewContext('gc') as () => void

const HEAP_RUNS = 3
const MAX_COLLECTIONS = 12
/** Change in bytes between two collections below which nothing more is being freed. */
const SETTLED_BYTES = 2048

/** Heap in use once it stops shrinking: code that has not run for a few collections is freed by the next one. */
const settledHeap = (): number => {
  let used = Infinity
  for (let round = 0; round < MAX_COLLECTIONS; round++) {
    collect()
    const now = process.memoryUsage().heapUsed
    if (used - now < SETTLED_BYTES) return now
    used = now
  }
  return used
}

/** Heap in bytes that `create` leaves reachable through its result; the median of several runs. */
export const heapBytes = (create: () => unknown): number => {
  // The first run compiles the code. No result is released before the end: a compilation in the background can keep one
  // reachable for a while, and its release would then count against a later run.
  const kept = [create()]
  const run = (): number => {
    const before = settledHeap()
    kept.push(create())
    return settledHeap() - before
  }
  const runs = Array.from({ length: HEAP_RUNS }, run)
  errors.invariant(kept.length === HEAP_RUNS + 1, 'every result is still held')
  return statistics.median(runs)
}

/** Smallest result of several runs, since other work on the machine only adds time. */
export const least = (runs: number, run: () => number): number => {
  let least = Infinity
  for (let index = 0; index < runs; index++) {
    collect()
    least = Math.min(least, run())
  }
  return least
}
