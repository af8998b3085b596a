/** Target size of section 1 of the design page; rates are per second, sizes in bytes. */
export const target = {
  workers: 3000,
  startsPerSecond: 69_000,
  tasksPerJob: 260,
  regions: 3,
  failureDomains: 7,
  configurationChangesPerDay: 3300,
  configurationInForceMs: 19_000,
  failedVmsPerDay: 23,
  restartedVmsPerDay: 190,
  /** Limits of control per node. */
  nodeCoreShare: 0.022,
  nodeMemoryBytes: 32e6,
  nodeBytesPerSecond: 25_000,
  /** Task starts that one entry core handles at least. */
  startsPerCoreSecond: 10_000,
  /** Time beyond the tasks' own run time in which resubmissions of a dead entry's jobs are answered. */
  recoveryMs: 3000,
  /** Rates of the platform that its stand-in enforces; the design page says several hundred writes. */
  storeWritesPerSecond: 300,
  storeReadsPerSecond: 2000
} as const

/** Agents in one region. */
export const regionAgents = target.workers / target.regions
export const regionStartsPerSecond = target.startsPerSecond / target.regions
export const domainAgents = Math.ceil(target.workers / target.failureDomains)
/** Task starts per second on one worker. */
export const workerStartsPerSecond = target.startsPerSecond / target.workers
