import * as logging from '@mustarddeck/log'
import * as runEstimates from '../estimates.ts'
import * as runHealths from '../run-health.ts'
import type * as replay from './replay.ts'

/** Estimates and health as the dispatcher uses them. */
export const create: replay.CreatePolicy = ({ timers, agents, farFactor, onRotation }) => {
  const estimates = runEstimates.create({ timers, farFactor })
  const log: logging.Log = {
    ...logging.create({ level: 'error' }),
    warn: (event, fields) => {
      const agent = [...agents.all()].find(({ name }) => name === fields?.['agent'])
      if (agent && (event === 'worker-out' || event === 'worker-back')) onRotation(event, agent)
    }
  }
  const health = runHealths.create({ timers, log, agents, estimates, onRotation: () => {}, onLateRun: () => {} })
  return {
    ...health,
    submitted: (job) => { for (const step of job.steps) estimates.addStep(step.tasks) },
    expectedMs: ({ job, task, place }) => estimates.expectedRunMs(job.job.queue.name, task, place)
  }
}
