import type * as runs from '@mustarddeck/runs'

/** A decoded object. Its fields may have any type. */
export type Fields = Record<string, unknown>

/** Above any real amount of a resource; sums of amounts up to this one are exact. */
const MAX_AMOUNT = 1e9
/** Longest delay in ms that a timer can have. */
const MAX_DURATION_MS = 2 ** 31 - 1
/** The id goes into a header of each call to the worker. */
const WORKER_ID = /^[\x21-\x7e]{1,200}$/

export const isFields = (value: unknown): value is Fields =>
  typeof value === 'object' && value !== null && !Array.isArray(value)
export const isText = (value: unknown): value is string => typeof value === 'string'
export const isFlag = (value: unknown): value is boolean => typeof value === 'boolean'
export const isNumber = (value: unknown): value is number => typeof value === 'number' && Number.isFinite(value)
/** True for a whole number that is not negative and up to which all whole numbers differ. */
export const isCount = (value: unknown): value is number => Number.isSafeInteger(value) && (value as number) >= 0
export const isAmount = (value: unknown): value is number => isNumber(value) && value >= 0 && value <= MAX_AMOUNT
export const isDurationMs = (value: unknown): value is number =>
  isNumber(value) && value >= 0 && value <= MAX_DURATION_MS
export const isListOf = <Item>(value: unknown, isItem: (item: unknown) => item is Item): value is Item[] =>
  Array.isArray(value) && value.every(isItem)

export const isResources = (value: unknown): value is runs.Resources =>
  isFields(value) && isAmount(value['millicores']) && isAmount(value['memoryMb']) && isAmount(value['accelerators'])

export const isWorker = (value: unknown): value is runs.Worker =>
  isFields(value) && isText(value['id']) && WORKER_ID.test(value['id']) && isCount(value['bornMs']) &&
  isText(value['service']) && isText(value['zone']) && isResources(value['capacity']) &&
  isListOf(value['labels'], isText) && isFlag(value['leaving'])
