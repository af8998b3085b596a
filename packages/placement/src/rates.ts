/** A sum that decays exponentially with the time constant `overMs`. */
export interface Decaying {
  add (amount: number, now: number): void
  value (now: number): number
}

export const create = (overMs: number): Decaying => {
  let sum = 0
  let at = 0
  const decay = (now: number): void => {
    if (now <= at) return
    sum *= Math.exp((at - now) / overMs)
    at = now
  }
  return {
    add: (amount, now) => {
      decay(now)
      sum += amount
    },
    value: (now) => {
      decay(now)
      return sum
    }
  }
}
