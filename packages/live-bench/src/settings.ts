import * as errors from '@mustarddeck/errors'
import * as settings from '@mustarddeck/settings'
import * as toml from 'smol-toml'

export const KEY = 'key-of-the-links-in-benchmarks'
export const FAILURE_DOMAIN = 'waco-floor'
export const TEAM = 'waco'
export const TYPE = 'wiring-check'
export const RESOURCES = { cores: 32, memoryMb: 64_000, accelerators: 0 }

/** Fills in the defaults of a role's settings. */
export const complete = <Role extends settings.Role>(role: Role, given: object): settings.SettingsOf<Role> => {
  const parsed = settings.parse(role, toml.stringify(given), role)
  errors.invariant(parsed.kind === 'ok', JSON.stringify(parsed))
  return parsed.value
}

/** One task type and one team without a quota, in a fleet that is large enough for any run. */
export const DECLARATIONS = `
[failure-domain.${FAILURE_DOMAIN}]
region = "central-tx"
workers = 1000
slotsPerWorker = 64
coresPerWorker = 32
memoryMbPerWorker = 64_000
workersPerRack = 3

[service.bench]
drainPolicy = "bench"
failureDomains = ["${FAILURE_DOMAIN}"]
connectionsPerWorker = 64

[drain-policy.bench]
timeLimitMs = 15_000
maxAtOnce = 1

[priority-class.bench]
rank = 0
targetWaitMs = 10_000
reserve = 0.1

[task-type.${TYPE}]
service = "bench"
priorityClass = "bench"
timeLimitMs = 4_000
cores = 0.1
memoryMb = 10
weight = 1

[team.${TEAM}]
weight = 1
`
