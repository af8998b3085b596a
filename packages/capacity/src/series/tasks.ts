import * as errors from '@mustarddeck/errors'
import * as placements from '@mustarddeck/placement'
import * as randoms from '@mustarddeck/random'
import type * as types from '@mustarddeck/types'
import * as measure from '../measure.ts'
import * as regions from '../region.ts'
import type * as series from '../series.ts'

const TASKS_PER_JOB = 10
/** Jobs in progress at once, the same for every size of the fleet. */
const JOBS_AT_ONCE = 40
const WAVE_MS = 100

/** Time in us that the decision code of one entry needs per task. */
const perTask = (agents: number, jobs: number): number => {
  const region = regions.create({ agents })
  region.start()
  const [entry] = region.entries
  const before = entry!.busyMs
  for (let job = 0; job < jobs; job += JOBS_AT_ONCE) {
    for (let index = job; index < Math.min(jobs, job + JOBS_AT_ONCE); index++) {
      region.submit(0, index, TASKS_PER_JOB)
    }
    region.timers.advance(WAVE_MS)
  }
  errors.invariant(region.answers.size === jobs, 'every job ends within its wave')
  return (entry!.busyMs - before) * 1000 / (jobs * TASKS_PER_JOB)
}

/** Placement must not grow with the fleet. */
export const byAgents = (sizes: number[], jobs: number, runs: number): series.Series => ({
  id: 'entry-task',
  title: 'decision code of an entry, time per task',
  mechanism: 'entry-core, placement',
  x: 'agents',
  y: 'us',
  points: sizes.map((agents) => ({ x: agents, y: measure.least(runs, () => perTask(agents, jobs)) }))
})

/** Demand for the heartbeats to all agents, per agent. */
export const heartbeats = (sizes: number[], runs: number): series.Series => ({
  id: 'entry-heartbeat',
  title: 'decision code of an entry, time per heartbeat to an agent',
  mechanism: 'placement (reports)',
  x: 'agents',
  y: 'us',
  points: sizes.map((agents) => {
    const region = regions.create({ agents })
    region.start()
    return { x: agents, y: measure.least(runs, () => region.heartbeat(0)) * 1000 / agents }
  })
})

const JOB: placements.WaitingJob = {
  id: 'job' as types.JobId, team: regions.RULES.teams[0]!.name, type: regions.TYPE, tasks: 260, registeredOnly: false
}
const PLAN_INTERVAL_MS = 20

/** Which agents to ask for slots, decided at most every 20 ms while tasks wait. */
export const reports = (sizes: number[], runs: number): series.Series => ({
  id: 'entry-reports',
  title: 'choice of the agents to ask for slots, time of each',
  mechanism: 'placement (reports)',
  x: 'agents',
  y: 'us',
  points: sizes.map((agents) => {
    const placement = placements.create({ random: randoms.create(1) })
    placement.configure(regions.RULES)
    for (let agent = 0; agent < agents; agent++) {
      const name = `worker-${agent}` as types.WorkerName
      const worker = { name, failureDomain: regions.DOMAIN, slots: 8, resources: regions.RESOURCES, registered: true }
      placement.workerConnected(agent + 1 as types.LinkId, worker, 0)
    }
    let now = 0
    const plan = (): number => {
      now += PLAN_INTERVAL_MS
      const id = `job-${now}` as types.JobId
      placement.admit({ ...JOB, id }, now)
      const began = performance.now()
      const asked = placement.demandReports(now)
      const tookMs = performance.now() - began
      errors.invariant(asked.length > 0, 'waiting tasks lead to a report')
      placement.withdraw(id)
      // The agents grant what was asked for and take it back, so that every run begins alike.
      for (const { link, waiting } of asked) {
        placement.granted(link, waiting[0]!)
        placement.recalled(link, waiting[0]!)
      }
      return tookMs * 1000
    }
    return { x: agents, y: measure.least(runs, plan) }
  })
})
