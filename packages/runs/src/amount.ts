/** What a task holds, or a worker has. */
export interface Amount {
  /** Thousandths of a processor core. */
  millicores: number
  memoryMb: number
  accelerators: number
}

export const NOTHING: Amount = { millicores: 0, memoryMb: 0, accelerators: 0 }

export const plus = (left: Amount, right: Amount): Amount => ({
  millicores: left.millicores + right.millicores,
  memoryMb: left.memoryMb + right.memoryMb,
  accelerators: left.accelerators + right.accelerators
})

export const minus = (left: Amount, right: Amount): Amount => ({
  millicores: left.millicores - right.millicores,
  memoryMb: left.memoryMb - right.memoryMb,
  accelerators: left.accelerators - right.accelerators
})

export const fits = (wanted: Amount, free: Amount): boolean =>
  wanted.millicores <= free.millicores && wanted.memoryMb <= free.memoryMb && wanted.accelerators <= free.accelerators
