import * as clock from '@mustarddeck/clock'
import * as errors from '@mustarddeck/errors'
import * as logging from '@mustarddeck/log'
import { expect } from 'chai'
import type * as deployments from './deployment.ts'
import type * as evacuations from './evacuations.ts'
import * as follow from './follow.ts'
import * as stores from './store.ts'

const deploymentOf = (version: number): deployments.Deployment => ({
  version,
  routes: [],
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
})

/** Time in ms in which the stand-in answers. */
const REPLY_MS = 2

type Outage = 'silent' | 'history-gone' | undefined

/** Answers with the current rows at once, and with changes as soon as there are any. */
class StandInStore extends stores.Store {
  outage: Outage
  version = 5
  zones: string[] = []
  reads = 0
  private changes: Array<{ version: number, zone: string, evacuated: boolean }> = []
  private readonly timers: clock.Timers

  constructor (timers: clock.Timers) {
    super()
    this.timers = timers
  }

  set (zone: string, evacuated: boolean): void {
    this.zones = this.zones.filter((other) => other !== zone)
    if (evacuated) this.zones.push(zone)
    this.changes.push({ version: ++this.version, zone, evacuated })
  }

  override async deployment (): Promise<stores.StoreResult<stores.DeploymentChange>> {
    this.reads++
    await this.delay(REPLY_MS)
    if (this.outage) return this.failure()
    const { version, zones } = this
    return errors.ok({ deployment: deploymentOf(1), evacuations: { kind: 'all', zones: [...zones] }, mark: { version } })
  }

  override async nextDeployment (
    { version: after }: stores.Mark, waitMs: number
  ): Promise<stores.StoreResult<stores.DeploymentChange>> {
    const endsAt = this.timers.monotonic() + waitMs
    for (;;) {
      await this.delay(REPLY_MS)
      if (this.outage) return this.failure()
      const changes = this.changes.filter(({ version }) => version > after)
      if (changes.length === 0 && this.timers.monotonic() < endsAt) continue
      return errors.ok({ deployment: undefined, evacuations: { kind: 'changes', changes }, mark: { version: this.version } })
    }
  }

  override rows (): never { throw new Error('not used') }
  override row (): never { throw new Error('not used') }
  override write (): never { throw new Error('not used') }
  override remove (): never { throw new Error('not used') }

  private failure (): stores.StoreResult<never> {
    return errors.error(this.outage === 'history-gone' ? { kind: 'history-gone' } : { kind: 'silent', reason: 'outage' })
  }

  private delay (ms: number): Promise<void> {
    return new Promise((resolve) => this.timers.after(ms, resolve))
  }
}

const setUp = (outage?: Outage) => {
  const timers = clock.createVirtual()
  const store = new StandInStore(timers)
  store.outage = outage
  const changes: evacuations.Evacuations[] = []
  const versions: number[] = []
  const follower = follow.create({
    store,
    timers,
    log: logging.create({ level: 'error' }),
    isNeeded: () => true,
    onChange: ({ version }) => versions.push(version),
    onEvacuations: (changed) => changes.push(changed)
  })
  const pass = async (ms: number): Promise<void> => {
    for (let passed = 0; passed < ms; passed++) {
      await new Promise((resolve) => setImmediate(resolve))
      timers.advance(1)
    }
  }
  return { changes, follower, pass, store, versions }
}

describe('following the store', () => {
  it('reads the evacuations with the configuration, and each change within ms', async () => {
    const { changes, follower, pass, store } = setUp()
    store.set('a', true)
    await pass(5)
    expect(follower.evacuations()).to.deep.equal({ storeVersion: 6, zones: ['a'] })
    store.set('b', true)
    await pass(5)
    store.set('a', false)
    await pass(5)
    expect(changes.map(({ zones }) => zones)).to.deep.equal([['a'], ['a', 'b'], ['b']])
    follower.stop()
  })

  // A removed row is not in the page that replaces the lost history.
  it('reads everything again when the store has lost the changes', async () => {
    const { follower, pass, store } = setUp()
    store.set('a', true)
    await pass(5)
    store.outage = 'history-gone'
    store.set('a', false)
    store.set('b', true)
    await pass(3)
    store.outage = undefined
    await pass(10)
    expect(follower.evacuations()).to.deep.equal({ storeVersion: 8, zones: ['b'] })
    follower.stop()
  })

  it('keeps what was known while the store is unavailable, and takes newer sets of peers', async () => {
    const { changes, follower, pass, store } = setUp()
    store.set('a', true)
    await pass(5)
    store.outage = 'silent'
    await pass(20_000)
    expect(follower.evacuations()?.zones).to.deep.equal(['a'])
    expect(follower.current()?.version).to.equal(1)
    follower.offerEvacuations({ storeVersion: 9, zones: ['a', 'b'] })
    expect(changes.at(-1)).to.deep.equal({ storeVersion: 9, zones: ['a', 'b'] })
    follower.stop()
  })

  it('learns of a change during an outage soon after its end', async () => {
    const { follower, pass, store } = setUp()
    await pass(5)
    store.outage = 'silent'
    await pass(3000)
    store.set('a', true)
    store.outage = undefined
    await pass(400)
    expect(follower.evacuations()?.zones).to.deep.equal(['a'])
    follower.stop()
  })

  // Such a process would start tasks in a zone that was evacuated before its start.
  it('has no configuration in force before it knows the evacuations, when it starts during an outage', async () => {
    const { follower, pass, versions } = setUp('silent')
    await pass(1000)
    follower.offer(deploymentOf(4))
    await pass(1000)
    expect([follower.current(), follower.received()?.version]).to.deep.equal([undefined, 4])
    expect(versions).to.deep.equal([4])
    follower.offerEvacuations({ storeVersion: 3, zones: ['a'] })
    expect([follower.current()?.version, follower.evacuations()?.zones]).to.deep.equal([4, ['a']])
    follower.stop()
  })

  it('puts the configuration in force when the evacuations came first', async () => {
    const { follower, pass } = setUp('silent')
    follower.offerEvacuations({ storeVersion: 3, zones: [] })
    expect(follower.current()).to.equal(undefined)
    follower.offer(deploymentOf(4))
    expect(follower.current()?.version).to.equal(4)
    await pass(1)
    follower.stop()
  })
})
