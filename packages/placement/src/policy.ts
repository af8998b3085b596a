/** Scheduling parameters that the benchmarks vary; `DEFAULT` has the values in use. */
export interface Policy {
  /** Order within a type: ms of age that offset one ms of remaining work. 0 gives the order of arrival. */
  remainingWorkWeight: number
  /** Weight of a new run time in the moving average of its type. */
  learningRate: number
  /** Types above their fair share of an overloaded fleet are served after all other work. */
  floodControl: boolean
  /** Less urgent work leaves the reserved slots of more urgent classes free. */
  reserves: boolean
  /** Workers that fail more or run slower than their peers leave rotation. */
  health: boolean
  /** Expected wait for the entry's own slots, over the class's target wait, above which it requests more slots. */
  reportWaitRatio: number
  /** Expected wait over the class's target wait at which it no longer leaves reserves of more urgent classes free. */
  reserveWaitRatio: number
}

export const DEFAULT: Policy = {
  remainingWorkWeight: 3,
  learningRate: 0.05,
  floodControl: true,
  reserves: true,
  health: true,
  reportWaitRatio: 0.8,
  reserveWaitRatio: 0.5
}
