import type * as queues from './queues.ts'

/** Offered load over capacity above which the entry is overloaded and floods are looked for. */
const OVERLOAD_RATIO = 2
/** Offered load over fair share above which a type is a flood during an overload; less is a burst. */
const FLOOD_RATIO = 2
/** Part of the capacity: a flood ends when its load is below its fair share of this part. */
const FLOOD_END_RATIO = 0.8
/** Interval in ms between checks of the loads. */
const CHECK_INTERVAL_MS = 20

export interface Floods {
  /** Moves types to the flood level, which is the last one, or back to their rank; returns the moved types. */
  check (slots: number, now: number): queues.Type[]
  /** Number of types at the flood level. */
  count (): number
}

/** Max-min fair share per unit of weight (water-filling), where no load gets more than it offers. */
export const maxMinFairShare = (loads: { load: number, weight: number }[], capacity: number): number => {
  const sorted = [...loads].sort((left, right) => left.load / left.weight - right.load / right.weight)
  let [remainingCapacity, remainingWeight] = [capacity, sorted.reduce((sum, { weight }) => sum + weight, 0)]
  for (const { load, weight } of sorted) {
    if (load / weight > remainingCapacity / remainingWeight) return remainingCapacity / remainingWeight
    remainingCapacity -= load
    remainingWeight -= weight
  }
  return Infinity
}

/**
 * Detects floods by offered load: when the types exceed the capacity, those above their max-min fair share are served
 * after all other work, whatever their class. They get all capacity that other work leaves, which is at least their
 * fair share. The capacity is that of this entry alone, so the check needs no data of other entries.
 */
export const create = (all: queues.Queues): Floods => {
  let nextCheckAt = 0
  let floodCount = 0
  return {
    check: (slots, now) => {
      if (now < nextCheckAt) return []
      nextCheckAt = now + CHECK_INTERVAL_MS
      const types = [...all.all()]
      const loads = types.map((type) => ({ load: all.load(type, now), weight: type.rules.weight }))
      const offered = loads.reduce((sum, { load }) => sum + load, 0)
      const fairShare = offered > slots * OVERLOAD_RATIO ? maxMinFairShare(loads, slots) : Infinity
      const floodEndShare = offered > slots * FLOOD_END_RATIO
        ? maxMinFairShare(loads, slots * FLOOD_END_RATIO)
        : Infinity
      const floodLevel = all.levels() - 1
      return types.filter((type, index) => {
        const share = loads[index]!.load / type.rules.weight
        const level = share > fairShare * FLOOD_RATIO ? floodLevel : share < floodEndShare ? type.rank : type.level
        if (level === type.level) return false
        all.setLevel(type, level)
        floodCount += level === floodLevel ? 1 : -1
        return true
      })
    },
    count: () => floodCount
  }
}
