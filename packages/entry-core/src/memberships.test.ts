import { expect } from 'chai'
import type * as types from '@mustarddeck/types'
import * as memberships from './memberships.ts'

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

describe('known memberships', () => {
  // The tasks of an agent that is taken for departed are given up, although its records are still there.
  it('keeps an agent that is missing only because the rows of members are staler than the departures', () => {
    const known = memberships.create()
    known.update(membership([FIRST, SECOND, THIRD], 5, []))
    known.update(membership([FIRST], 6, [THIRD]))
    expect(known.hasDeparted(THIRD)).to.equal(true)
    expect(known.hasDeparted(SECOND)).to.equal(false)
    expect(known.isMember(SECOND)).to.equal(true)
  })

  it('takes a missing agent for departed when the list of departures does not reach back', () => {
    const known = memberships.create()
    known.update(membership([FIRST, SECOND], 5, []))
    known.update(membership([FIRST], 8, [THIRD]))
    expect(known.hasDeparted(SECOND)).to.equal(true)
  })
})
