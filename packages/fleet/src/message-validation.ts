import type * as messages from './messages.ts'

type Fields = Record<string, unknown>

const isFields = (value: unknown): value is Fields => typeof value === 'object' && value !== null && !Array.isArray(value)
const isText = (value: unknown): boolean => typeof value === 'string'
const isNumber = (value: unknown): boolean => typeof value === 'number' && Number.isFinite(value)
const isFlag = (value: unknown): boolean => typeof value === 'boolean'
const isListOf = (value: unknown, isItem: (item: unknown) => boolean): boolean =>
  Array.isArray(value) && value.every(isItem)
const isOptional = (value: unknown, isValue: (value: unknown) => boolean): boolean =>
  value === undefined || value === null || isValue(value)

const isResources = (value: unknown): boolean =>
  isFields(value) && isNumber(value['millicores']) && isNumber(value['memoryMb']) && isNumber(value['accelerators'])
const isWorker = (value: unknown): boolean =>
  isFields(value) && isText(value['id']) && isNumber(value['bornMs']) && isText(value['service']) && isText(value['zone']) &&
  isResources(value['capacity']) && isListOf(value['labels'], isText) && isFlag(value['leaving'])
const isRequestedTask = (value: unknown): boolean =>
  isFields(value) && isText(value['task']) && isNumber(value['run']) && isResources(value['amount'])
const isUrgency = (value: unknown): boolean => isFields(value) && isNumber(value['priority']) && isNumber(value['withinMs'])
const isCrash = (value: unknown): boolean =>
  isFields(value) && isText(value['worker']) && isNumber(value['bornMs']) && isText(value['suspicion'])
const isCrashedRun = (value: unknown): boolean =>
  isFields(value) && isCrash(value) && isText(value['task']) && isOptional(value['queue'], isText)
const isQueue = (value: unknown): boolean =>
  isFields(value) && isText(value['name']) && isText(value['service']) && isNumber(value['priority']) &&
  isNumber(value['maxAttempts']) && isNumber(value['stretch']) && isNumber(value['objectiveMs'])
const isRoute = (value: unknown): boolean =>
  isFields(value) && isText(value['host']) && isText(value['pathPrefix']) && isNumber(value['patienceMs']) &&
  isFlag(value['needsAdvice']) && isQueue(value['queue'])
const isLimits = (value: unknown): boolean =>
  isFields(value) && isNumber(value['maxHeaderBytes']) && isNumber(value['maxBodyBytes']) &&
  isNumber(value['headerTimeoutMs']) && isNumber(value['idleTimeoutMs'])
const isDeployment = (value: unknown): boolean =>
  isFields(value) && isNumber(value['version']) && isListOf(value['routes'], isRoute) && isLimits(value['limits'])
const isCounts = (value: unknown): boolean => isFields(value) && Object.values(value).every(isNumber)

const VALIDATORS: Record<messages.Message['kind'], (message: Fields) => boolean> = {
  start: ({ sequence, spec, tasks }) => isNumber(sequence) && isText(spec) && isListOf(tasks, isRequestedTask),
  stop: ({ tasks }) => isListOf(tasks, isText),
  want: ({ urgency }) => isOptional(urgency, isUrgency),
  room: ({ sequence, sharers, worker, free }) =>
    isNumber(sequence) && isNumber(sharers) && isOptional(worker, isWorker) && isResources(free),
  ended: ({ task, run, end, ranMs, reason, crash }) =>
    isText(task) && isNumber(run) && isText(end) && isNumber(ranMs) && isOptional(reason, isText) &&
    isOptional(crash, isCrash),
  crashes: ({ crashes }) => isListOf(crashes, isCrashedRun),
  version: ({ version }) => isNumber(version),
  'deployment-wanted': () => true,
  deployment: ({ deployment }) => isDeployment(deployment),
  entries: ({ addresses }) => isListOf(addresses, isText),
  status: ({ storeReachable, waiting }) => isFlag(storeReachable) && isCounts(waiting),
  cancel: ({ request, key }) => isNumber(request) && isText(key),
  'cancel-reply': ({ request, known }) => isNumber(request) && isFlag(known)
}

/** Tells whether a value received from a peer has the fields of its kind of message. */
export const isMessage = (value: unknown): value is messages.Message => {
  if (!isFields(value) || typeof value['kind'] !== 'string' || !Object.hasOwn(VALIDATORS, value['kind'])) return false
  return VALIDATORS[value['kind'] as messages.Message['kind']](value)
}
