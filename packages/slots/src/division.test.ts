import { expect } from 'chai'
import * as fc from 'fast-check'
import type * as types from '@mustarddeck/types'
import * as slots from './index.ts'

const SEED = 20_241_204
const SLOTS = 8
const [FIRST, SECOND] = [1, 2] as types.LinkId[] as [types.LinkId, types.LinkId]
const granted = (moves: slots.SlotMessage[], link: types.LinkId): number =>
  moves.reduce((sum, move) => sum + (move.kind === 'grant' && move.link === link ? move.slots : 0), 0)

describe(`division of slots, seed ${SEED}`, () => {
  // Guards against a slot granted to two entries, which makes the agent refuse task starts.
  it('never grants more slots than there are, in any sequence of calls', () => {
    const action = fc.record({
      kind: fc.constantFrom('connected', 'disconnected', 'demand', 'start', 'end', 'returned', 'timer'),
      link: fc.integer({ min: 1, max: 3 }),
      count: fc.nat(9)
    })
    fc.assert(fc.property(fc.array(action, { maxLength: 120 }), (actions) => {
      const division = slots.create({ slots: SLOTS })
      const unused = new Map<types.LinkId, number>()
      const running = new Map<types.LinkId, number>()
      const add = (map: Map<types.LinkId, number>, link: types.LinkId, by: number): void => {
        map.set(link, (map.get(link) ?? 0) + by)
      }
      let now = 0
      for (const { kind, link: number, count } of actions) {
        now += 2
        const link = number as types.LinkId
        let moves: slots.SlotMessage[] = []
        const [has, runs] = [unused.get(link), running.get(link) ?? 0]
        if (kind === 'connected' && has === undefined && runs === 0) {
          unused.set(link, 0)
          moves = division.connected(link, now)
        } else if (kind === 'disconnected' && has !== undefined) {
          unused.delete(link)
          moves = division.disconnected(link, now)
        } else if (kind === 'demand') moves = division.demand(link, [count % 3, count], now)
        else if (kind === 'start') {
          const started = division.start(link)
          if (started !== ((has ?? 0) > 0)) return false
          if (started) [add(unused, link, -1), add(running, link, 1)]
        } else if (kind === 'end' && runs > 0) {
          const ended = division.end(link, now)
          add(running, link, -1)
          if (ended.renewed) add(unused, link, 1)
          moves = ended.moves
        } else if (kind === 'returned' && has !== undefined) {
          const back = Math.min(count, has)
          add(unused, link, -back)
          moves = division.returned(link, back, now)
        } else if (kind === 'timer') moves = division.timer(now)
        for (const move of moves) if (move.kind === 'grant') add(unused, move.link, move.slots)
        const total = [...unused.values(), ...running.values()].reduce((sum, held) => sum + held, 0)
        if (total > SLOTS) return false
      }
      return true
    }), { seed: SEED, numRuns: 2000 })
  })

  it('moves unused slots to an entry with demand', () => {
    const division = slots.create({ slots: SLOTS })
    division.connected(FIRST, 0)
    const recalls = division.connected(SECOND, 0)
    expect(recalls).to.deep.include({ kind: 'recall', link: FIRST, slots: 4 })
    expect(granted(division.returned(FIRST, 4, 1), SECOND)).to.equal(4)
  })

  it('grants the slot of an ended task to another entry with more urgent work', () => {
    const division = slots.create({ slots: 1 })
    division.connected(FIRST, 0)
    division.connected(SECOND, 0)
    expect(division.start(FIRST)).to.equal(true)
    division.demand(FIRST, [0, 5], 1)
    division.demand(SECOND, [1, 0], 1)
    const { renewed, moves } = division.end(FIRST, 2)
    expect(renewed).to.equal(false)
    expect(granted(moves, SECOND)).to.equal(1)
  })

  it('grants nothing after it was closed', () => {
    const division = slots.create({ slots: SLOTS })
    division.connected(FIRST, 0)
    expect(division.start(FIRST)).to.equal(true)
    division.close()
    expect(division.start(FIRST)).to.equal(false)
    expect(division.end(FIRST, 1)).to.deep.equal({ renewed: false, moves: [] })
  })
})
