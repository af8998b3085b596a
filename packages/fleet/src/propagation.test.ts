import * as clock from '@mustarddeck/clock'
import type * as sessions from '@mustarddeck/sessions'
import { expect } from 'chai'
import type * as deployments from './deployment.ts'
import type * as evacuations from './evacuations.ts'
import type * as messages from './messages.ts'
import * as propagations from './propagation.ts'

const deploymentOf = (version: number): deployments.Deployment => ({
  version,
  routes: [],
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
})

const setUp = (version?: number, evacuations?: evacuations.Evacuations) => {
  const timers = clock.createVirtual()
  const sent: Array<[link: number, kind: string]> = []
  const broadcasts: number[] = []
  const broadcastZones: string[][] = []
  const offered: evacuations.Evacuations[] = []
  let current = version === undefined ? undefined : deploymentOf(version)
  const propagation = propagations.create({
    timers,
    links: {
      send: (link: number, { kind }: messages.Message) => sent.push([link, kind])
    } as unknown as sessions.Sessions<messages.Message>,
    current: () => current,
    offer: (deployment) => {
      current = deployment
      return true
    },
    evacuations: () => evacuations,
    offerEvacuations: ({ storeVersion, zones }) => offered.push({ storeVersion, zones }),
    broadcast: (message) => {
      if (message.kind === 'version') broadcasts.push(message.version)
      if (message.kind === 'evacuations') broadcastZones.push(message.zones)
    }
  })
  return { sent, propagation, timers, broadcasts, broadcastZones, offered, version: () => current?.version }
}

describe('propagation of the configuration', () => {
  // Four entries report a new version to an agent at once. A large configuration must be sent on only one of the links.
  it('requests a newer version from one peer, and from another if there is no response', () => {
    const { sent, propagation, timers, version } = setUp(5)
    for (const link of [1, 2, 3]) propagation.receive(link, { kind: 'version', version: 7 })
    expect(sent).to.deep.equal([[1, 'deployment-wanted']])
    timers.advance(500)
    propagation.receive(2, { kind: 'version', version: 7 })
    expect(sent).to.deep.equal([[1, 'deployment-wanted'], [2, 'deployment-wanted']])
    propagation.receive(2, { kind: 'deployment', deployment: deploymentOf(7) })
    propagation.receive(3, { kind: 'version', version: 7 })
    expect([version(), sent.length]).to.deep.equal([7, 2])
  })

  it('immediately requests a version that is newer than the one already requested', () => {
    const { sent, propagation } = setUp()
    propagation.receive(1, { kind: 'version', version: 1 })
    propagation.receive(2, { kind: 'version', version: 2 })
    expect(sent).to.deep.equal([[1, 'deployment-wanted'], [2, 'deployment-wanted']])
  })

  it('asks the next peer that has announced the version when one does not answer', () => {
    const { sent, propagation, timers, version } = setUp()
    for (const link of [1, 2, 3]) propagation.receive(link, { kind: 'version', version: 7 })
    expect(sent).to.deep.equal([[1, 'deployment-wanted']])
    timers.advance(450)
    expect(sent).to.deep.equal([[1, 'deployment-wanted'], [2, 'deployment-wanted']])
    propagation.receive(2, { kind: 'deployment', deployment: deploymentOf(7) })
    timers.advance(2000)
    expect([version(), sent.length]).to.deep.equal([7, 2])
  })

  it('sends its version to new peers, after a change and periodically', () => {
    const { sent, propagation, timers, broadcasts } = setUp(5)
    propagation.up(4)
    expect(sent).to.deep.equal([[4, 'version']])
    propagation.changed()
    timers.advance(10_100)
    expect(broadcasts).to.deep.equal([5, 5, 5])
    propagation.receive(4, { kind: 'deployment-wanted' })
    expect(sent[1]).to.deep.equal([4, 'deployment'])
  })

  // A peer with a configuration but without the evacuations would start tasks in an evacuated zone.
  it('sends the evacuations to a new peer before the version, and to all peers at a change', () => {
    const { sent, propagation, broadcastZones } = setUp(5, { storeVersion: 7, zones: ['a', 'b'] })
    propagation.up(4)
    expect(sent).to.deep.equal([[4, 'evacuations'], [4, 'version']])
    propagation.evacuationsChanged()
    expect(broadcastZones).to.deep.equal([['a', 'b']])
  })

  it('hands over the evacuations of a peer', () => {
    const { propagation, offered } = setUp()
    expect(propagation.receive(4, { kind: 'evacuations', storeVersion: 3, zones: ['a'] })).to.equal(true)
    expect(offered).to.deep.equal([{ storeVersion: 3, zones: ['a'] }])
  })

  // A peer that heard of an evacuation, but whose informant is gone before it has told of the return, would never know.
  it('corrects a peer that knows an older set, but only if the set differs', () => {
    const { sent, propagation } = setUp(5, { storeVersion: 7, zones: ['a'] })
    propagation.receive(4, { kind: 'evacuations', storeVersion: 6, zones: ['a'] })
    propagation.receive(4, { kind: 'evacuations', storeVersion: 8, zones: ['b'] })
    expect(sent).to.deep.equal([])
    propagation.receive(4, { kind: 'evacuations', storeVersion: 6, zones: ['a', 'b'] })
    expect(sent).to.deep.equal([[4, 'evacuations']])
  })

  it('ignores messages of other kinds', () => {
    expect(setUp().propagation.receive(1, { kind: 'entries', addresses: [] })).to.equal(false)
  })
})
