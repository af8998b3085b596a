import type * as queues from './queues.ts'

/** Offered load over capacity above which types over their fair share go last. */
const OVERLOAD = 2
/** Offered load over fair share above which a type counts as a flood in an overload; less is a burst. */
const FLOOD = 2
/** Offered load over fair share below which a type stops counting as a flood. */
const CALM = 0.8
/** Interval in ms between two looks at the loads. */
const CHECK_MS = 20

export interface Floods {
  /** Moves types to the last level and back; returns those that were moved. */
  check (slots: number, now: number): queues.Type[]
  /** Number of types in the last level. */
  count (): number
}

/** Level of water-filling: what each unit of weight gets of the capacity when no load gets more than it offers. */
export const fairLevel = (loads: { load: number, weight: number }[], capacity: number): number => {
  const sorted = [...loads].sort((left, right) => left.load / left.weight - right.load / right.weight)
  let [left, weights] = [capacity, sorted.reduce((sum, { weight }) => sum + weight, 0)]
  for (const { load, weight } of sorted) {
    if (load / weight > left / weights) return left / weights
    left -= load
    weights -= weight
  }
  return Infinity
}

/**
 * Finds floods by offered work: when types offer more than the capacity, those above their max-min fair share are
 * served after all other work, whatever their class. They keep all that the other work leaves, which is at least the
 * fair share. Only held slots count as capacity, so the check needs no knowledge of other entries.
 */
export const create = (all: queues.Queues): Floods => {
  let checkAt = 0
  let count = 0
  return {
    check: (slots, now) => {
      if (now < checkAt) return []
      checkAt = now + CHECK_MS
      const types = [...all.all()]
      const loads = types.map((type) => ({ load: all.load(type, now), weight: type.rules.weight }))
      const offered = loads.reduce((sum, { load }) => sum + load, 0)
      const fair = offered > slots * OVERLOAD ? fairLevel(loads, slots) : Infinity
      const calm = offered > slots * CALM ? fairLevel(loads, slots * CALM) : Infinity
      const last = all.levels() - 1
      return types.filter((type, index) => {
        const share = loads[index]!.load / type.rules.weight
        const level = share > fair * FLOOD ? last : share < calm ? type.rank : type.level
        if (level === type.level) return false
        all.setLevel(type, level)
        count += level === last ? 1 : -1
        return true
      })
    },
    count: () => count
  }
}
