/** Resources that a task holds or a worker has. */
export interface Resources {
  /** Thousandths of a CPU core. */
  millicores: number
  memoryMb: number
  accelerators: number
}

export const NO_RESOURCES: Resources = { millicores: 0, memoryMb: 0, accelerators: 0 }

export const add = (left: Resources, right: Resources): Resources => ({
  millicores: left.millicores + right.millicores,
  memoryMb: left.memoryMb + right.memoryMb,
  accelerators: left.accelerators + right.accelerators
})

export const subtract = (left: Resources, right: Resources): Resources => ({
  millicores: left.millicores - right.millicores,
  memoryMb: left.memoryMb - right.memoryMb,
  accelerators: left.accelerators - right.accelerators
})

export const fits = (needed: Resources, free: Resources): boolean =>
  needed.millicores <= free.millicores && needed.memoryMb <= free.memoryMb && needed.accelerators <= free.accelerators

export const equals = (left: Resources, right: Resources): boolean =>
  left.millicores === right.millicores && left.memoryMb === right.memoryMb && left.accelerators === right.accelerators
