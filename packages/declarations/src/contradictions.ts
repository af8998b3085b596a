import * as objects from './objects.ts'
import type * as problems from './problems.ts'
import type * as schemas from './schemas.ts'

type Named<Kind extends schemas.Kind> = Map<string, schemas.FieldsOf<Kind>>

/** Resolved objects of each kind, by name, without those that have a problem themselves or in an object they extend. */
interface ValidObjects {
  domains: Named<'failure-domain'>
  policies: Named<'drain-policy'>
  services: Named<'service'>
  classes: Named<'priority-class'>
  types: Named<'task-type'>
  teams: Named<'team'>
  /** True if every object of the kind is included. Sums and orders over the kind are meaningful only then. */
  isComplete (kind: schemas.Kind): boolean
}

const problem = (
  kind: schemas.Kind, name: string, field: string | undefined, message: string
): problems.Problem => ({ object: objects.keyOf(kind, name), field, message })

/** With a time limit above that of the drain policy, a task could make a planned stop overdue. */
const findLongTimeLimits = ({ types, services, policies }: ValidObjects): problems.Problem[] =>
  [...types].flatMap(([name, { timeLimitMs, service }]) => {
    const policy = services.get(service)?.drainPolicy
    const limitMs = policies.get(policy ?? '')?.timeLimitMs
    if (limitMs === undefined || timeLimitMs <= limitMs) return []
    const message = `${timeLimitMs} ms is above the ${limitMs} ms of drain-policy/${policy} of service/${service}`
    return [problem('task-type', name, 'timeLimitMs', message)]
  })

const RESOURCES = [
  ['cores', 'coresPerWorker'], ['memoryMb', 'memoryMbPerWorker'], ['accelerators', 'acceleratorsPerWorker']
] as const

/** Finds task types that can never run, since no worker of the service's failure domains has enough resources. */
const findUnrunnableTypes = ({ types, services, domains }: ValidObjects): problems.Problem[] =>
  [...types].flatMap(([name, type]) => {
    const known = services.get(type.service)?.failureDomains.map((domain) => domains.get(domain))
    if (!known || known.includes(undefined)) return []
    const hosts = known.filter((host) => host !== undefined && host.workers > 0) as schemas.FieldsOf<'failure-domain'>[]
    if (hosts.length === 0) {
      return [problem('task-type', name, 'service', `no failure domain of service/${type.service} has workers`)]
    }
    if (hosts.some((host) => RESOURCES.every(([needed, offered]) => type[needed] <= host[offered]))) return []
    const field = RESOURCES.find(([needed, offered]) => hosts.every((host) => type[needed] > host[offered]))?.[0]
    return [problem('task-type', name, field, `more than any worker of service/${type.service} has`)]
  })

const findExcessiveQuotas = ({ teams, domains, isComplete }: ValidObjects): problems.Problem[] => {
  if (!isComplete('failure-domain')) return []
  const slots = [...domains.values()].reduce((sum, { workers, slotsPerWorker }) => sum + workers * slotsPerWorker, 0)
  return [...teams].flatMap(([name, { maxRunning }]) => maxRunning === undefined || maxRunning <= slots
    ? []
    : [problem('team', name, 'maxRunning', `${maxRunning} is above the ${slots} slots of the fleet`)])
}

/** Every class but the least urgent needs a reserve; otherwise less urgent tasks can occupy all slots. */
const findReserveProblems = ({ classes, isComplete }: ValidObjects): problems.Problem[] => {
  if (!isComplete('priority-class')) return []
  const ordered = [...classes].sort(([, a], [, b]) => a.rank - b.rank)
  const found: problems.Problem[] = []
  ordered.forEach(([name, { rank, reserve }], position) => {
    const next = ordered[position + 1]
    if (!next) return
    if (reserve === 0) {
      const message = `a class more urgent than priority-class/${next[0]} needs a reserve above 0`
      found.push(problem('priority-class', name, 'reserve', message))
    }
    if (next[1].rank === rank) {
      found.push(problem('priority-class', name, 'rank', `${rank} is also the rank of priority-class/${next[0]}`))
    }
  })
  const total = ordered.reduce((sum, [, { reserve }]) => sum + reserve, 0)
  if (total >= 1) {
    const message = `the reserves of all classes add up to ${Number(total.toFixed(3))} and leave no slot for other work`
    found.push(problem('priority-class', ordered[0]![0], 'reserve', message))
  }
  return found
}

const findMissingConnections = ({ services, domains }: ValidObjects): problems.Problem[] =>
  [...services].flatMap(([name, { connectionsPerWorker, failureDomains }]) =>
    failureDomains.flatMap((domain) => {
      const slots = domains.get(domain)?.slotsPerWorker ?? 0
      if (connectionsPerWorker >= slots) return []
      const message = `${connectionsPerWorker} is below the ${slots} slots per worker of failure-domain/${domain}`
      return [problem('service', name, 'connectionsPerWorker', message)]
    }))

/** Finds contradictions between objects that are valid on their own. `complete`: every object could be parsed. */
export const find = (
  set: objects.Declarations, invalidObjects: ReadonlySet<objects.ObjectKey>, complete: boolean
): problems.Problem[] => {
  const isValid = (declaration: objects.Declaration): boolean =>
    objects.ancestryOf(set, declaration).every(({ kind, name }) => !invalidObjects.has(objects.keyOf(kind, name)))
  const named = <Kind extends schemas.Kind>(kind: Kind): Named<Kind> => new Map(objects.resolved(set, kind)
    .filter(({ name }) => isValid(set.get(objects.keyOf(kind, name))!))
    .map(({ name, fields }) => [name, fields]))
  const validObjects: ValidObjects = {
    domains: named('failure-domain'),
    policies: named('drain-policy'),
    services: named('service'),
    classes: named('priority-class'),
    types: named('task-type'),
    teams: named('team'),
    isComplete: (kind) => complete && [...set.values()].every((one) => one.kind !== kind || isValid(one))
  }
  return [
    findLongTimeLimits, findUnrunnableTypes, findExcessiveQuotas, findReserveProblems, findMissingConnections
  ].flatMap((one) => one(validObjects))
}
