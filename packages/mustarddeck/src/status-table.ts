import Table from 'cli-table3'
import type * as entry from '@mustarddeck/entry'

const MEGABYTE = 2 ** 20

const formatTable = (head: string[], rows: (string | number)[][]): string => {
  const lines = new Table({ head, style: { head: [], border: [], compact: true } })
  lines.push(...rows)
  return lines.toString()
}

const entryTable = (states: entry.Status[]): string => formatTable(
  ['entry', 'failure domain', 'state', 'version', 'jobs', 'waiting', 'running', 'MB', 'links: entries', 'agents'],
  states.map((state) => [
    state.name, state.failureDomain, state.draining ? 'draining' : 'ready', state.configuration, state.jobs,
    state.waitingTasks, state.runningTasks, (state.bytes / MEGABYTE).toFixed(1), state.entries.length,
    state.agents.length
  ]))

const processTable = (states: entry.Status[]): string => {
  const byIncarnation = new Map(states.flatMap(({ entries, agents }) => [...entries, ...agents])
    .map((peer) => [peer.incarnation, peer]))
  return formatTable(['process', 'role', 'failure domain', 'registered', 'slots', 'version', 'address'],
    [...byIncarnation.values()]
      .sort((left, right) => `${left.role}${left.name}`.localeCompare(`${right.role}${right.name}`))
      .map((peer) => [
        peer.name, peer.role, peer.failureDomain, peer.role === 'agent' ? (peer.registered ? 'yes' : 'no') : '-',
        peer.role === 'agent' ? peer.slots : '-', peer.configuration, peer.address ?? '-'
      ]))
}

const queueTable = (states: entry.Status[]): string => {
  const rows = states.flatMap(({ name, queues }) => queues.map(({ type, priorityClass, waiting, running, flooding }) =>
    [name, type, priorityClass, waiting, running, flooding ? 'yes' : 'no']))
  return rows.length === 0
    ? 'no waiting or running tasks'
    : formatTable(['entry', 'task type', 'priority class', 'waiting', 'running', 'flooding'], rows)
}

const refusalTable = (states: entry.Status[]): string => {
  const rows = states.flatMap(({ name, refusals }) =>
    Object.entries(refusals).map(([reason, count]) => [name, reason, count]))
  return rows.length === 0 ? 'no refusals' : formatTable(['entry', 'refused for', 'count'], rows)
}

/** Formats tables of the entries, the processes linked to them, the queues, and refusals by reason. */
export const format = (states: entry.Status[]): string =>
  [entryTable(states), processTable(states), queueTable(states), refusalTable(states)].join('\n\n')
