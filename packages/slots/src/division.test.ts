import { expect } from 'chai'
import type * as types from '@mustarddeck/types'
import * as slots from './index.ts'

const [FIRST, SECOND] = [1, 2] as types.LinkId[] as [types.LinkId, types.LinkId]

describe('division of slots', () => {
  // A slot granted to two entries would make the agent refuse dispatches.
  it('never grants more slots than there are', () => {
    const division = slots.create({ slots: 8 })
    const all = [...division.connected(FIRST, 0), ...division.connected(SECOND, 0)]
    const granted = all.reduce((sum, move) => sum + (move.kind === 'grant' ? move.slots : 0), 0)
    expect(granted).to.equal(8)
  })
})
