import { expect } from 'chai'
import * as clock from '@mustarddeck/clock'
import * as errors from '@mustarddeck/errors'
import * as log from '@mustarddeck/log'
import type * as membership from '@mustarddeck/membership'
import type * as platform from '@mustarddeck/platform'
import * as random from '@mustarddeck/random'
import type * as types from '@mustarddeck/types'
import * as registrations from './registration.ts'

type Result = errors.Result<types.Membership, platform.StoreError>

const MEMBERSHIP: types.Membership = { members: [], departures: 0, departed: [], fences: [] }
const UNAVAILABLE: Result = errors.error({ kind: 'unavailable', message: 'down' })
const member = { worker: 'waco-1', incarnation: 'incarnation', failureDomain: 'waco-floor' } as types.Member

/** Creates a registration with a store whose responses are given by the test. */
const create = (answers: { register: () => Promise<Result>, depart?: () => Promise<Result> }) => {
  const timers = clock.createVirtual()
  const events: string[] = []
  const registry = { read: answers.register, fence: answers.register, depart: answers.register, ...answers }
  const registration = registrations.create({
    registry: registry satisfies membership.Registry,
    member,
    timers,
    random: random.create(1),
    log: log.create({ level: 'error' }),
    onRegistered: () => events.push('registered'),
    onDeparted: () => events.push('departed')
  })
  /** Runs pending promise callbacks before and after advancing the clock. */
  const advance = async (durationMs: number): Promise<void> => {
    await new Promise((resolve) => setImmediate(resolve))
    timers.advance(durationMs)
    await new Promise((resolve) => setImmediate(resolve))
  }
  return { registration, events, timers, advance }
}

describe('registration', () => {
  it('retries at least every 2 s while the store is down', async () => {
    let attempts = 0
    const { registration, events, advance } = create({
      register: async () => ++attempts > 20 ? errors.ok(MEMBERSHIP) : UNAVAILABLE
    })
    registration.start()
    for (let second = 0; second < 40; second += 2) await advance(2000)
    expect(attempts).to.equal(21)
    expect(events).to.deep.equal(['registered'])
  })

  // The owners of its tasks may already have stopped relying on the start records of a removed incarnation.
  it('does not register again after its incarnation has departed', async () => {
    let attempts = 0
    const { registration, events, advance } = create({
      register: async () => {
        attempts++
        return errors.error({ kind: 'conflict', keys: ['membership'] })
      }
    })
    registration.start()
    for (let second = 0; second < 10; second++) await advance(2000)
    expect(attempts).to.equal(1)
    expect(events).to.deep.equal(['departed'])
  })

  it('waits for a pending registration before it departs, and reports no event afterwards', async () => {
    let answer: (result: Result) => void = () => {}
    const order: string[] = []
    const { registration, events, advance } = create({
      register: () => new Promise((resolve) => { answer = resolve }),
      depart: async () => {
        order.push('depart')
        return errors.ok(MEMBERSHIP)
      }
    })
    registration.start()
    const departed = registration.depart()
    await advance(1000)
    expect(order).to.deep.equal([])
    answer(errors.ok(MEMBERSHIP))
    await departed
    expect(order).to.deep.equal(['depart'])
    expect(events).to.deep.equal([])
  })

  // A store outage must not block the replacement of a drained machine.
  it('gives up its departure after 5 s if the store is down or does not respond', async () => {
    for (const depart of [async () => UNAVAILABLE, () => new Promise<Result>(() => {})]) {
      const { registration, advance } = create({ register: async () => errors.ok(MEMBERSHIP), depart })
      let ended = false
      const departed = registration.depart().then(() => { ended = true })
      await advance(4999)
      expect(ended).to.equal(false)
      await advance(1)
      await departed
    }
  })
})
