/** Choices that the benchmarks compare; `DEFAULT` is the one in use. */
export interface Policy {
  /** Order within a type: ms of age that one ms of remaining work is worth. 0 is the order of arrival. */
  remainingWeight: number
  /** Weight of a new run time in the moving mean of its type. */
  learningRate: number
  /** Types above their fair share of an overloaded fleet go after all other work. */
  floodControl: boolean
  /** Less urgent work leaves the reserves of more urgent classes free. */
  reserves: boolean
  /** Workers that stand out from their peers leave rotation. */
  health: boolean
  /** Wait for the entry's own slots, over the class's target, above which it asks for more than its even part. */
  reportWait: number
  /** Wait over target up to which a class leaves the reserves of more urgent classes free. */
  reserveWait: number
}

export const DEFAULT: Policy = {
  remainingWeight: 3,
  learningRate: 0.05,
  floodControl: true,
  reserves: true,
  health: true,
  reportWait: 0.8,
  reserveWait: 0.5
}
