import { expect } from 'chai'
import * as selection from './selection.ts'

const ADDRESSES = Array.from({ length: 9 }, (_, index) => `10.1.0.${index}:7720`)
const AGENTS = Array.from({ length: 54 }, (_, index) => `10.2.0.${index}`)
const MOST = 4

const candidates = (dialedSince?: number) => ADDRESSES.map((address) => ({ address, isLinked: false, dialedSince }))

describe('selection of the entries that an agent links to', () => {
  it('is deterministic and distributed over all entries', () => {
    const counts = new Map(ADDRESSES.map((address) => [address, 0]))
    for (const agent of AGENTS) {
      const chosen = selection.create(agent, MOST).choose(candidates(), 0)
      expect(chosen).to.have.property('size', MOST)
      expect(selection.create(agent, MOST).choose(candidates().reverse(), 0)).to.deep.equal(chosen)
      for (const address of chosen) counts.set(address, counts.get(address)! + 1)
    }
    // The average is 24 agents per entry. With fewer than half of that, an entry would have too few workers.
    for (const [address, count] of counts) expect(count, address).to.be.within(12, 40)
  })

  it('adds the next entry for one that stays unreachable, and keeps the others', () => {
    const choice = selection.create(AGENTS[0]!, MOST)
    const first = choice.choose(candidates(), 0)
    const lost = [...first][0]!
    const after = ADDRESSES.map((address) => ({
      address, isLinked: first.has(address) && address !== lost, dialedSince: first.has(address) ? 0 : undefined
    }))
    expect(choice.choose(after, 500)).to.deep.equal(first)
    const later = choice.choose(after, 1500)
    expect(later).to.have.property('size', MOST + 1)
    expect([...later]).to.include.members([...first])
  })

  it('includes all entries while none can be reached', () => {
    expect(selection.create(AGENTS[0]!, MOST).choose(candidates(0), 5000)).to.have.property('size', ADDRESSES.length)
  })
})
