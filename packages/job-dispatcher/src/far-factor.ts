import type * as estimates from './estimates.ts'

/** Factor by which a task takes longer away from its data or its group, until the configuration names another one. */
export const DEFAULT_FAR_FACTOR = 1.5

/**
 * Adds the far factor to a model of run times that ignores the place. To be removed once the model accounts for it.
 */
export const apply = (model: estimates.Estimates, farFactor: number): estimates.Estimates => {
  const factorAt = (place: estimates.Place | undefined): number => place?.far ? farFactor : 1
  return {
    ...model,
    expectedRunMs: (queue, task, place) => model.expectedRunMs(queue, task, place) * factorAt(place),
    normalizedRunMs: (task, ranMs, place) => model.normalizedRunMs(task, ranMs) / factorAt(place),
    record: (queue, task, ranMs, place) => model.record(queue, task, ranMs / factorAt(place), place)
  }
}
