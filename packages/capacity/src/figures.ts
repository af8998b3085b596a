import * as fits from './fit.ts'
import type * as series from './series.ts'
import { domainAgents, regionAgents, regionStartsPerSecond, target, workerStartsPerSecond } from './targets.ts'

/** A size at the target, worked out from fitted series. */
export interface Figure {
  role: 'entry' | 'agent' | 'region' | 'platform'
  name: string
  value: number
  unit: string
  /** Largest value that the target allows; absent where none is stated. */
  limit?: number
  /** Series that the value comes from. */
  from: string[]
}

/** Assumptions that the design page leaves open. */
export const ASSUMED = {
  /** Mean number of tasks of a job. */
  tasksPerJob: 10,
  /** Mean run time of a task. */
  runMs: 500,
  /** Share of a core that an entry's event loop may be busy at peak, so that its queue stays short. */
  utilisation: 0.6,
  /** Default lifetime of a block with the retention after it. */
  keptSeconds: 1500,
  /** Smallest number of failure domains in a region; the entries of the others carry the load when one is lost. */
  domainsPerRegion: 2
} as const

const MEGA = 1e6
const PERCENT = 100

/** Entries of one region: cores for the peak, and as many again in the other failure domain. */
export const entriesPerRegion = (all: Map<string, series.Fitted>): number => {
  const job = all.get('live-entry-job')!.fit
  const { tasksPerJob, utilisation, domainsPerRegion } = ASSUMED
  const taskUs = fits.at(job, tasksPerJob) / tasksPerJob
  const needed = Math.ceil(regionStartsPerSecond * taskUs / MEGA / utilisation)
  return Math.ceil(needed * domainsPerRegion / (domainsPerRegion - 1))
}

export const work = (all: Map<string, series.Fitted>): Figure[] => {
  const fit = (id: string): fits.Fit => all.get(id)!.fit
  const at = (id: string, x: number): number => fits.at(fit(id), x)
  const { tasksPerJob, runMs, keptSeconds, domainsPerRegion } = ASSUMED
  const entries = entriesPerRegion(all)
  const allEntries = entries * target.regions
  /** Entries that are left when a failure domain is lost. */
  const left = entries * (domainsPerRegion - 1) / domainsPerRegion
  const startsPerEntry = regionStartsPerSecond / left
  const keptTasks = startsPerEntry * keptSeconds
  const jobHeap = fit('ledger-job').slope - fit('ledger-task').slope
  const ledgerMb = keptTasks * (fit('ledger-task').slope + jobHeap / tasksPerJob) / MEGA
  const jobsAtDeath = startsPerEntry * runMs / 1000 / tasksPerJob
  const recoveryMs = at('recovery-agents', regionAgents) * jobsAtDeath / 100
  const agentUs = (links: number): number => at('live-agent-processor', workerStartsPerSecond) +
    (links - 1) * fit('live-agent-link-processor').slope
  const agentBytes = (links: number): number => at('live-agent-bytes', workerStartsPerSecond) +
    (links - 1) * fit('live-agent-link-bytes').slope
  const journalMb = workerStartsPerSecond * keptSeconds * fit('journal-task').slope / MEGA
  const setBytes = at('configuration-bytes', 2 * 170)
  const linkUpMs = (agents: number): number => agents * fit('live-entry-link-up').slope
  const core = MEGA / PERCENT
  const share = target.nodeCoreShare * PERCENT
  const memory = target.nodeMemoryBytes / MEGA
  const bytes = target.nodeBytesPerSecond / 1000
  const anonymous = at('live-agent-anonymous', workerStartsPerSecond)
  return [
    { role: 'region', name: 'entries, with one failure domain lost', value: entries, unit: '', from: ['live-entry-job'] },
    { role: 'entry', name: `processor at peak, domain lost, jobs of ${tasksPerJob}`, value: startsPerEntry * at('live-entry-job', tasksPerJob) / tasksPerJob / core, unit: '% of a core', limit: 100, from: ['live-entry-job'] },
    { role: 'entry', name: `decision code per task, ${regionAgents} agents`, value: at('entry-task', regionAgents), unit: 'us', limit: MEGA / target.startsPerCoreSecond, from: ['entry-task'] },
    { role: 'entry', name: `decision code per task, ${target.workers} agents`, value: at('entry-task', target.workers), unit: 'us', limit: MEGA / target.startsPerCoreSecond, from: ['entry-task'] },
    { role: 'entry', name: `choice of agents to ask, ${regionAgents} agents, 100 a second`, value: 100 * at('entry-reports', regionAgents) / core, unit: '% of a core', from: ['entry-reports'] },
    { role: 'entry', name: `idle links, ${regionAgents} agents`, value: regionAgents * fit('live-entry-idle').slope / core, unit: '% of a core', from: ['live-entry-idle'] },
    { role: 'entry', name: `heartbeat traffic, ${regionAgents} agents`, value: regionAgents * fit('live-entry-bytes').slope / 1000, unit: 'KB/s', from: ['live-entry-bytes'] },
    { role: 'entry', name: `heartbeat traffic, ${target.workers} agents`, value: target.workers * fit('live-entry-bytes').slope / 1000, unit: 'KB/s', from: ['live-entry-bytes'] },
    { role: 'entry', name: 'task traffic at peak, domain lost', value: startsPerEntry * fit('live-entry-job-bytes').slope / 1000, unit: 'KB/s', from: ['live-entry-job-bytes'] },
    { role: 'entry', name: `links, anonymous memory, ${regionAgents} agents`, value: regionAgents * fit('live-entry-anonymous').slope, unit: 'MB', from: ['live-entry-anonymous'] },
    { role: 'entry', name: 'kept outcomes, domain lost', value: ledgerMb, unit: 'MB', limit: 268, from: ['ledger-job', 'ledger-task'] },
    { role: 'entry', name: `all ${regionAgents} agents link up`, value: linkUpMs(regionAgents), unit: 'ms of a core', from: ['live-entry-link-up'] },
    { role: 'entry', name: `all ${target.workers} agents link up`, value: linkUpMs(target.workers), unit: 'ms of a core', from: ['live-entry-link-up'] },
    { role: 'entry', name: `${domainAgents} agents of a failure domain lost`, value: at('links-down', domainAgents), unit: 'ms of a core', from: ['links-down'] },
    { role: 'region', name: `death of an entry to its last outcome, ${Math.round(jobsAtDeath)} jobs`, value: at('recovery-virtual', regionAgents) + recoveryMs, unit: 'ms', limit: target.recoveryMs, from: ['recovery-virtual', 'recovery-agents'] },
    { role: 'region', name: 'configuration in force everywhere', value: at('configuration-spread', regionAgents), unit: 'ms', limit: target.configurationInForceMs, from: ['configuration-spread'] },
    { role: 'entry', name: `sets sent for one version of 340 objects, ${regionAgents} agents`, value: setBytes * regionAgents / entries / MEGA, unit: 'MB', from: ['configuration-bytes', 'configuration-sets'] },
    { role: 'agent', name: `processor, ${entries} links`, value: agentUs(entries) / core, unit: '% of a core', limit: share, from: ['live-agent-processor', 'live-agent-link-processor'] },
    { role: 'agent', name: `processor, ${allEntries} links`, value: agentUs(allEntries) / core, unit: '% of a core', limit: share, from: ['live-agent-processor', 'live-agent-link-processor'] },
    { role: 'agent', name: `traffic, ${entries} links`, value: agentBytes(entries) / 1000, unit: 'KB/s', limit: bytes, from: ['live-agent-bytes', 'live-agent-link-bytes'] },
    { role: 'agent', name: `traffic, ${allEntries} links`, value: agentBytes(allEntries) / 1000, unit: 'KB/s', limit: bytes, from: ['live-agent-bytes', 'live-agent-link-bytes'] },
    { role: 'agent', name: 'start records, kept 25 min', value: journalMb, unit: 'MB', limit: memory, from: ['journal-task'] },
    { role: 'agent', name: 'anonymous memory under load, one link, few records', value: anonymous, unit: 'MB', limit: memory, from: ['live-agent-anonymous'] },
    { role: 'agent', name: `anonymous memory with records and ${entries} links`, value: anonymous + journalMb + (entries - 1) * fit('live-agent-link-anonymous').slope, unit: 'MB', limit: memory, from: ['live-agent-anonymous', 'journal-task', 'live-agent-link-anonymous'] },
    { role: 'agent', name: 'resident memory under load, one link', value: at('live-agent-resident', workerStartsPerSecond), unit: 'MB', from: ['live-agent-resident'] },
    { role: 'platform', name: `reads, 3 a second of each of ${allEntries} entries`, value: 3 * allEntries, unit: '/s', limit: target.storeReadsPerSecond, from: ['live-entry-job'] },
    { role: 'platform', name: `read of all membership rows, ${target.workers} members`, value: at('membership-rows', target.workers) / 1000, unit: 'KB', from: ['membership-rows'] },
    { role: 'platform', name: 'bytes written by a fence', value: at('fence-bytes', target.workers), unit: 'B', from: ['fence-bytes'] },
    { role: 'platform', name: `${domainAgents} agents of a failure domain register`, value: at('registration-time', domainAgents), unit: 's', from: ['registration-time'] },
    { role: 'platform', name: 'transactions per registration in that burst', value: at('registration-writes', domainAgents), unit: '', from: ['registration-writes'] },
    { role: 'platform', name: 'requests of that burst above the rate', value: at('registration-refused', domainAgents), unit: '%', limit: 0, from: ['registration-refused'] },
    { role: 'platform', name: 'replacement of all VMs, departure and registration one by one', value: 2 * target.workers * fit('registration-time').slope, unit: 's', from: ['registration-time'] }
  ]
}

export const verdict = ({ value, limit }: Figure): string => limit === undefined ? '' : value <= limit ? 'fits' : 'does not fit'
