import Table from 'cli-table3'
import type * as entry from '@mustarddeck/entry'

const MEGABYTE = 2 ** 20

const table = (head: string[], rows: (string | number)[][]): string => {
  const lines = new Table({ head, style: { head: [], border: [], compact: true } })
  lines.push(...rows)
  return lines.toString()
}

const entries = (states: entry.Status[]): string => table(
  ['entry', 'failure domain', 'state', 'version', 'jobs', 'waiting', 'running', 'MB', 'links: entries', 'agents'],
  states.map((state) => [
    state.name, state.failureDomain, state.draining ? 'draining' : 'ready', state.configuration, state.jobs,
    state.waitingTasks, state.runningTasks, (state.bytes / MEGABYTE).toFixed(1), state.entries.length,
    state.agents.length
  ]))

const peers = (states: entry.Status[]): string => {
  const byIncarnation = new Map(states.flatMap(({ entries, agents }) => [...entries, ...agents])
    .map((peer) => [peer.incarnation, peer]))
  return table(['process', 'role', 'failure domain', 'registered', 'slots', 'version', 'address'],
    [...byIncarnation.values()]
      .sort((one, other) => `${one.role}${one.name}`.localeCompare(`${other.role}${other.name}`))
      .map((peer) => [
        peer.name, peer.role, peer.failureDomain, peer.role === 'agent' ? (peer.registered ? 'yes' : 'no') : '-',
        peer.role === 'agent' ? peer.slots : '-', peer.configuration, peer.address ?? '-'
      ]))
}

const queues = (states: entry.Status[]): string => {
  const rows = states.flatMap(({ name, queues }) => queues.map(({ type, priorityClass, waiting, running, flooding }) =>
    [name, type, priorityClass, waiting, running, flooding ? 'yes' : 'no']))
  return rows.length === 0
    ? 'no waiting or running tasks'
    : table(['entry', 'task type', 'priority class', 'waiting', 'running', 'flooding'], rows)
}

const refusals = (states: entry.Status[]): string => {
  const rows = states.flatMap(({ name, refusals }) =>
    Object.entries(refusals).map(([reason, count]) => [name, reason, count]))
  return rows.length === 0 ? 'no refusals' : table(['entry', 'refused for', 'count'], rows)
}

/** Text for people: entries, processes linked to them, queues, and refusals by reason. */
export const format = (states: entry.Status[]): string =>
  [entries(states), peers(states), queues(states), refusals(states)].join('\n\n')
