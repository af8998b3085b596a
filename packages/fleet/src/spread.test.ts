import * as clock from '@mustarddeck/clock'
import type * as sessions from '@mustarddeck/sessions'
import { expect } from 'chai'
import type * as deployments from './deployment.ts'
import type * as messages from './messages.ts'
import * as spreading from './spread.ts'

const deploymentOf = (version: number): deployments.Deployment => ({
  version,
  routes: [],
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
})

const setUp = (version?: number) => {
  const timers = clock.createVirtual()
  const sent: Array<[link: number, kind: string]> = []
  const told: number[] = []
  let current = version === undefined ? undefined : deploymentOf(version)
  const spread = spreading.create({
    timers,
    links: {
      send: (link: number, { kind }: messages.Message) => sent.push([link, kind])
    } as unknown as sessions.Sessions<messages.Message>,
    current: () => current,
    offer: (deployment) => {
      current = deployment
      return true
    },
    broadcast: (message) => { if (message.kind === 'version') told.push(message.version) }
  })
  return { sent, spread, timers, told, version: () => current?.version }
}

describe('passing on of the configuration', () => {
  // Four entries tell an agent of a new version at the same time; a large one must cross only one of the links.
  it('asks one peer for a newer version, and another one when no answer comes', () => {
    const { sent, spread, timers, version } = setUp(5)
    for (const link of [1, 2, 3]) spread.receive(link, { kind: 'version', version: 7 })
    expect(sent).to.deep.equal([[1, 'deployment-wanted']])
    timers.advance(500)
    spread.receive(2, { kind: 'version', version: 7 })
    expect(sent).to.deep.equal([[1, 'deployment-wanted'], [2, 'deployment-wanted']])
    spread.receive(2, { kind: 'deployment', deployment: deploymentOf(7) })
    spread.receive(3, { kind: 'version', version: 7 })
    expect([version(), sent.length]).to.deep.equal([7, 2])
  })

  it('asks at once for a version that is newer than the one asked for', () => {
    const { sent, spread } = setUp()
    spread.receive(1, { kind: 'version', version: 1 })
    spread.receive(2, { kind: 'version', version: 2 })
    expect(sent).to.deep.equal([[1, 'deployment-wanted'], [2, 'deployment-wanted']])
  })

  it('tells its version to new peers, after a change, and again and again', () => {
    const { sent, spread, timers, told } = setUp(5)
    spread.up(4)
    expect(sent).to.deep.equal([[4, 'version']])
    spread.changed()
    timers.advance(2100)
    expect(told).to.deep.equal([5, 5, 5])
    spread.receive(4, { kind: 'deployment-wanted' })
    expect(sent[1]).to.deep.equal([4, 'deployment'])
  })

  it('leaves other messages to others', () => {
    expect(setUp().spread.receive(1, { kind: 'entries', addresses: [] })).to.equal(false)
  })
})
