/** A sum that decays exponentially over time. */
export interface DecayingSum {
  add (amount: number, now: number): void
  value (now: number): number
}

/** `timeConstantMs`: time in ms in which the sum decays to 1/e. */
export const create = (timeConstantMs: number): DecayingSum => {
  let sum = 0
  let decayedAt = 0
  const decay = (now: number): void => {
    if (now <= decayedAt) return
    sum *= Math.exp((decayedAt - now) / timeConstantMs)
    decayedAt = now
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
