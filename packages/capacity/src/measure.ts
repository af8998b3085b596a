import * as v8 from 'node:v8'
import * as vm from 'node:vm'
import * as statistics from 'simple-statistics'

v8.setFlagsFromString('--expose-gc')
const collect = vm.runInNewContext('gc') as () => void

const HEAP_RUNS = 3

/** Heap in bytes that `create` leaves reachable through its result; the median of several runs. */
export const heapBytes = (create: () => unknown): number => {
  const run = (): number => {
    collect()
    collect()
    const before = process.memoryUsage().heapUsed
    const kept = create()
    collect()
    collect()
    const after = process.memoryUsage().heapUsed
    return kept === undefined ? 0 : after - before
  }
  // The first run compiles the code.
  create()
  return statistics.median(Array.from({ length: HEAP_RUNS }, run))
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
