import { expect } from 'chai'
import * as rackWait from './rack-wait.ts'

const policy = new rackWait.ByCost()
/** A task of 200 ms, 400 ms elsewhere, in a calm fleet and with time to spare. */
const inputsOf = (changes: Partial<rackWait.Inputs> = {}): rackWait.Inputs => ({
  now: 1000,
  nearMs: 200,
  farMs: 400,
  roomInMs: 50,
  busyShare: 0,
  affectedTasks: 1,
  endBy: 5000,
  latestStart: 4800,
  limit: Infinity,
  ...changes
})

describe('waits for a rack, by cost', () => {
  it('last at most as long as the additional run time elsewhere', () => {
    expect(policy.decide(inputsOf())).to.equal(1200)
    expect(policy.decide(inputsOf({ roomInMs: 199 }))).to.equal(1200)
    expect(policy.decide(inputsOf({ roomInMs: 200 }))).to.equal(undefined)
  })

  it('are longer while the longer run would take capacity from others, and for a group', () => {
    expect(policy.decide(inputsOf({ roomInMs: 300, busyShare: 1 }))).to.equal(1400)
    expect(policy.decide(inputsOf({ roomInMs: 500, busyShare: 0.5, affectedTasks: 4 }))).to.equal(1600)
  })

  it('do not begin if only the run elsewhere meets the objective', () => {
    expect(policy.decide(inputsOf({ endBy: 1420, latestStart: 1220, roomInMs: 230, busyShare: 1 }))).to.equal(undefined)
  })

  it('last almost to the latest start if only the run on the rack meets the objective', () => {
    expect(policy.decide(inputsOf({ farMs: 600, roomInMs: 60, endBy: 1500, latestStart: 1300 }))).to.equal(1260)
  })

  // An entry that reaches no worker of the rack never sees room there.
  it('do not begin without a reachable worker that gets room, by any policy', () => {
    const policies = [policy, new rackWait.AlwaysWait(), new rackWait.FixedDelay()]
    for (const each of policies) expect(each.decide(inputsOf({ roomInMs: Infinity }))).to.equal(undefined)
  })

  it('do not last longer than the first wait of the task, nor beyond the latest start, by any policy', () => {
    const policies = [policy, new rackWait.AlwaysWait(), new rackWait.FixedDelay()]
    for (const each of policies) {
      expect(each.decide(inputsOf({ limit: 1010 }))).to.equal(1010)
      expect(each.decide(inputsOf({ limit: 1000 }))).to.equal(undefined)
      expect(each.decide(inputsOf({ endBy: 1230, latestStart: 1030 }))).to.equal(undefined)
    }
  })
})
