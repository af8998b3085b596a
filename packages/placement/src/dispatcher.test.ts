import { expect } from 'chai'
import * as random from '@mustarddeck/random'
import type * as types from '@mustarddeck/types'
import * as placement from './index.ts'

const resources = { cores: 1, memoryMb: 100, accelerators: 0 }
const LINK = 1 as types.LinkId
const rules = {
  version: 1,
  taskTypes: ['quick', 'slow'].map((name, index) => ({
    name, service: 's', priorityClass: `class-${index}`, timeLimitMs: 1000, resources, weight: 1
  })),
  priorityClasses: [0, 1].map((rank) => ({ name: `class-${rank}`, rank, targetWaitMs: 1000, reserve: 0 })),
  teams: [{ name: 'team', weight: 1 }]
} as unknown as types.Rules
const job = (id: string, type: string, tasks = 1): placement.WaitingJob =>
  ({ id, team: 'team', type, tasks, registeredOnly: false }) as placement.WaitingJob

describe('dispatcher', () => {
  it('starts the most urgent work first, and only against grants', () => {
    const dispatcher = placement.create({ random: random.create(1) })
    dispatcher.configure(rules)
    const worker = { name: 'w', failureDomain: 'd', slots: 2, resources: { cores: 8, memoryMb: 800, accelerators: 0 } }
    dispatcher.workerUp(LINK, { ...worker, registered: true } as placement.Worker, 0)
    expect(dispatcher.admit(job('late', 'slow'), 0).kind).to.equal('admitted')
    expect(dispatcher.admit(job('urgent', 'quick'), 0).kind).to.equal('admitted')
    expect(dispatcher.next(0)).to.equal(undefined)
    dispatcher.granted(LINK, 1)
    expect(dispatcher.next(0)?.job).to.equal('urgent')
    expect(dispatcher.next(0)).to.equal(undefined)
  })
})
