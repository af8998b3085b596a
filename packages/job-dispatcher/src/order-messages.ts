import type * as log from '@mustarddeck/log'
import type * as runs from '@mustarddeck/runs'
import type * as fleet from './agents.ts'
import type * as jobs from './jobs.ts'

/** Maximum number of tasks in one log line; the log truncates longer values. */
export const MAX_LOGGED_TASKS = 16

export interface Options {
  log: log.Log
  send (link: number, message: runs.ToAgent): void
}

/** Sends the tasks ordered on an agent in one pass, with one message for each specification. */
export const send = ({ log, send }: Options, agent: fleet.Agent, tasks: jobs.TaskState[]): void => {
  const bySpec = new Map<string, jobs.TaskState[]>()
  for (const task of tasks) {
    const spec = task.job.job.spec
    bySpec.set(spec, [...bySpec.get(spec) ?? [], task])
  }
  for (const [spec, group] of bySpec) {
    const startOrders = group.map(({ task, order, orders }) => (
      { task: task.id, order, run: orders, amount: task.amount }))
    send(agent.link, { kind: 'start', sequence: agent.sequence, spec, tasks: startOrders })
    for (let from = 0; from < group.length; from += MAX_LOGGED_TASKS) {
      const ids = group.slice(from, from + MAX_LOGGED_TASKS).map(({ task }) => task.id).join(',')
      log.info('order', { tasks: ids, agent: agent.name, freeMillicores: agent.free.millicores })
    }
  }
}
