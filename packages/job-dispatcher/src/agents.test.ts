import type * as runs from '@mustarddeck/runs'
import { expect } from 'chai'
import * as fleet from './agents.ts'

const FORGET_AFTER_MS = 600_000
const WORKER: runs.Worker = {
  id: 'i-1' as runs.WorkerId,
  bornMs: 1,
  service: 'corkbook',
  zone: 'khangai-a',
  capacity: { millicores: 1000, memoryMb: 1000, accelerators: 0 },
  labels: ['a'],
  leaving: false
}

const link = (agents: fleet.Agents, id: number, worker = WORKER): fleet.Agent => {
  const agent = agents.up(id, 'agent-1', 'incarnation')
  agents.update(agent, { kind: 'room', sequence: 0, sharers: 1, worker, free: worker.capacity })
  return agent
}

describe('health of workers behind agents', () => {
  it('is kept while a link is down for a short time, and not for a new incarnation of the worker', () => {
    const agents = fleet.create()
    const { health } = link(agents, 1)
    agents.down(1, 0)
    expect(agents.forgetGone(FORGET_AFTER_MS - 1)).to.deep.equal([])
    expect(link(agents, 2).health).to.equal(health)
    expect(agents.forgetGone(FORGET_AFTER_MS)).to.deep.equal([])
    agents.down(2, 0)
    expect(link(agents, 3, { ...WORKER, bornMs: 2 }).health).to.not.equal(health)
  })

  // Otherwise memory grows with each machine that was ever linked, and machines that are gone count as peers.
  it('is forgotten when the worker is gone', () => {
    const agents = fleet.create()
    const { health } = link(agents, 1)
    agents.down(1, 0)
    expect(agents.forgetGone(FORGET_AFTER_MS)).to.deep.equal(['agent-1'])
    expect(agents.forgetGone(FORGET_AFTER_MS)).to.deep.equal([])
    expect(link(agents, 2).health).to.not.equal(health)
  })
})
