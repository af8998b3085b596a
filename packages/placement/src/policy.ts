/** Choices that the benchmarks compare; `DEFAULT` is the one in use. */
export interface Policy {
  /** Order within a type: ms of age that one ms of remaining work is worth. 0 is the order of arrival. */
  remainingWeight: number
  /** Weight of a new run time in the moving mean of its type. */
  learningRate: number
  /** Which of the workers with unused grants starts a task. */
  spread: 'most-unused' | 'random' | 'packed'
  /** Types above their fair share of an overloaded fleet go after all other work. */
  floodControl: boolean
  /** Less urgent work leaves the reserves of more urgent classes free. */
  reserves: boolean
  /** Workers that stand out from their peers leave rotation. */
  health: boolean
  /** Share of tasks that goes to workers out of rotation beside the trial tasks. */
  exploration: number
  /** Expected wait in ms for the entry's own slots above which it asks agents for more. */
  reportWaitMs: number
  /** Slots asked for per waiting task, since an asked agent may have none unused. */
  reportFactor: number
}

export const DEFAULT: Policy = {
  remainingWeight: 1,
  learningRate: 0.05,
  spread: 'most-unused',
  floodControl: true,
  reserves: true,
  health: true,
  exploration: 0,
  reportWaitMs: 10,
  reportFactor: 1
}
