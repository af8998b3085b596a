import type * as types from '@mustarddeck/types'
import * as objects from './objects.ts'

/** Converts a validated set to the rules by which entries schedule tasks. `version` is its published version. */
export const toRules = (set: objects.Declarations, version: number): types.Rules => ({
  version,
  taskTypes: objects.resolved(set, 'task-type').map(({ name, fields }) => ({
    name: name as types.TaskTypeName,
    service: fields.service,
    priorityClass: fields.priorityClass as types.PriorityClassName,
    timeLimitMs: fields.timeLimitMs,
    resources: { cores: fields.cores, memoryMb: fields.memoryMb, accelerators: fields.accelerators },
    weight: fields.weight
  })),
  priorityClasses: objects.resolved(set, 'priority-class')
    .sort((a, b) => a.fields.rank - b.fields.rank)
    .map(({ name, fields: { rank, targetWaitMs, reserve } }) =>
      ({ name: name as types.PriorityClassName, rank, targetWaitMs, reserve })),
  teams: objects.resolved(set, 'team').map(({ name, fields: { weight, maxRunning } }) =>
    ({ name: name as types.TeamName, weight, ...maxRunning !== undefined && { maxRunning } }))
})
