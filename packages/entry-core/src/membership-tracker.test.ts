import { expect } from 'chai'
import type * as types from '@mustarddeck/types'
import * as membershipTrackers from './membership-tracker.ts'

const [FIRST, SECOND, THIRD] = ['first', 'second', 'third'] as types.Incarnation[] as
  [types.Incarnation, types.Incarnation, types.Incarnation]
const membership = (
  members: types.Incarnation[], departures: number, departed: types.Incarnation[]
): types.Membership => ({
  members: members.map((incarnation) => ({
    worker: incarnation as string as types.WorkerName, incarnation, failureDomain: 'd' as types.FailureDomainName
  })),
  departures,
  departed: departed.map((incarnation, position) => ({
    index: departures - departed.length + position + 1, worker: 'w' as types.WorkerName, incarnation
  })),
  fences: []
})

describe('membership tracker', () => {
  // Tasks of an agent that is wrongly taken for departed are marked lost while the agent still has their records.
  it('keeps an agent that is missing only because the member rows are staler than the departures', () => {
    const tracker = membershipTrackers.create()
    tracker.update(membership([FIRST, SECOND, THIRD], 5, []))
    tracker.update(membership([FIRST], 6, [THIRD]))
    expect(tracker.hasDeparted(THIRD)).to.equal(true)
    expect(tracker.hasDeparted(SECOND)).to.equal(false)
    expect(tracker.isMember(SECOND)).to.equal(true)
  })

  it('treats a missing agent as departed when the list of departures does not reach back to the last read', () => {
    const tracker = membershipTrackers.create()
    tracker.update(membership([FIRST, SECOND], 5, []))
    tracker.update(membership([FIRST], 8, [THIRD]))
    expect(tracker.hasDeparted(SECOND)).to.equal(true)
  })
})
