import * as deployments from './deployment.ts'
import * as evacuations from './evacuations.ts'
import type * as messages from './messages.ts'
import * as validation from './validation.ts'

const { isAmount, isCount, isDurationMs, isFields, isFlag, isListOf, isNumber, isResources, isText } = validation

const isOptional = (value: unknown, isValue: (value: unknown) => boolean): boolean =>
  value === undefined || value === null || isValue(value)

/** True for free resources, which are negative while a worker with less capacity still has its runs. */
const isFree = (value: unknown): boolean =>
  isFields(value) && isNumber(value['millicores']) && isNumber(value['memoryMb']) && isNumber(value['accelerators'])
const isRequestedTask = (value: unknown): value is validation.Fields =>
  isFields(value) && isText(value['task']) && isCount(value['order']) && isCount(value['run']) && isResources(value['amount'])
const isUrgency = (value: unknown): boolean =>
  isFields(value) && isNumber(value['priority']) && isNumber(value['withinMs'])
const isQueue = (value: unknown): boolean =>
  isFields(value) && isText(value['name']) && isText(value['service']) && isCount(value['priority']) &&
  isCount(value['maxAttempts']) && isAmount(value['stretch']) && isDurationMs(value['objectiveMs'])
const isRoute = (value: unknown): value is deployments.Route =>
  isFields(value) && isText(value['host']) && isText(value['pathPrefix']) && isDurationMs(value['patienceMs']) &&
  isFlag(value['needsAdvice']) && isQueue(value['queue'])
const isLimits = (value: unknown): boolean =>
  isFields(value) && isCount(value['maxHeaderBytes']) && isCount(value['maxBodyBytes']) &&
  isDurationMs(value['headerTimeoutMs']) && isDurationMs(value['idleTimeoutMs'])
const isDeployment = (value: unknown): boolean =>
  isFields(value) && isCount(value['version']) && isListOf(value['routes'], isRoute) && isLimits(value['limits'])
const isCounts = (value: unknown): boolean => isFields(value) && Object.values(value).every(isCount)

const isOutcome = (value: unknown): boolean => {
  if (!isFields(value)) return false
  switch (value['kind']) {
    case 'completed':
    case 'cancelled': return true
    case 'failed': return isText(value['task'])
    case 'not-run': return isText(value['reason']) && isDurationMs(value['retryAfterMs'])
    case 'unknown': return isText(value['reason'])
    default: return false
  }
}
const isFormer = (value: unknown): boolean =>
  isFields(value) && isText(value['incarnation']) && isCount(value['before'])
const isJoinState = (value: unknown): boolean => {
  if (!isFields(value)) return false
  switch (value['kind']) {
    case 'joined':
    case 'busy': return true
    case 'free': return isCount(value['before'])
    case 'ended': return isOutcome(value['outcome'])
    default: return false
  }
}

const VALIDATORS: Record<messages.Message['kind'], (message: validation.Fields) => boolean> = {
  start: ({ sequence, spec, tasks }) => isCount(sequence) && isText(spec) && isListOf(tasks, isRequestedTask),
  stop: ({ tasks }) => isListOf(tasks, isText),
  want: ({ urgency }) => isOptional(urgency, isUrgency),
  room: ({ sequence, sharers, worker, free, evacuated }) =>
    isCount(sequence) && isCount(sharers) && sharers > 0 && isOptional(worker, validation.isWorker) && isFree(free) &&
    isOptional(evacuated, isFlag),
  ended: ({ task, order, run, end, ranMs, reason }) =>
    isText(task) && isCount(order) && isCount(run) && isText(end) && isNumber(ranMs) && isOptional(reason, isText),
  version: ({ version }) => isCount(version),
  'deployment-wanted': () => true,
  deployment: ({ deployment }) => isDeployment(deployment),
  evacuations: ({ storeVersion, zones }) =>
    isCount(storeVersion) && isListOf(zones, evacuations.isZone) && zones.length <= evacuations.MAX_ZONES,
  entries: ({ addresses }) => isListOf(addresses, isText),
  status: ({ storeReachable, waiting }) => isFlag(storeReachable) && isCounts(waiting),
  cancel: ({ request, key }) => isCount(request) && isText(key),
  'cancel-reply': ({ request, known }) => isCount(request) && isFlag(known),
  claim: ({ request, key, claim, former }) =>
    isCount(request) && isText(key) && isCount(claim) && isOptional(former, isFormer),
  'claim-reply': ({ request, holder }) => isCount(request) && isOptional(holder, isText),
  join: ({ request, key, timeoutMs }) => isCount(request) && isText(key) && isDurationMs(timeoutMs),
  'join-state': ({ request, state }) => isCount(request) && isJoinState(state),
  leave: ({ request }) => isCount(request),
  held: ({ keys, claim }) => isListOf(keys, isText) && isCount(claim),
  cancelled: ({ keys }) => isListOf(keys, isText)
}

const isMessage = (value: unknown): value is messages.Message =>
  isFields(value) && typeof value['kind'] === 'string' && Object.hasOwn(VALIDATORS, value['kind']) &&
  VALIDATORS[value['kind'] as messages.Message['kind']](value)

/**
 * Parses a value received from a peer; returns undefined if it lacks the fields of its kind of message. A configuration
 * is sent on, so only its known fields are kept: others may be nested too deeply to be encoded.
 */
export const parse = (value: unknown): messages.Message | undefined => {
  if (!isMessage(value)) return undefined
  return value.kind === 'deployment' ? { ...value, deployment: deployments.copy(value.deployment) } : value
}
