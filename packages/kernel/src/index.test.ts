import { expect } from 'chai'
import * as kernel from './index.ts'

describe('kernel', () => {
  // Stopping a dependency before the services that use it would break their requests in progress.
  it('stops services in the reverse order of their start, once', async () => {
    const events: string[] = []
    const registry = kernel.create()
    for (const name of ['table', 'links', 'api']) {
      registry.register(name, { start: () => { events.push(`+${name}`) }, stop: () => { events.push(`-${name}`) } })
    }
    await registry.start()
    await Promise.all([registry.stop(), registry.stop()])
    expect(events).to.deep.equal(['+table', '+links', '+api', '-api', '-links', '-table'])
  })

  it('throws on an unknown service name and on a duplicate registration', () => {
    const registry = kernel.create()
    registry.register('table', {})
    expect(() => registry.get('tabel')).to.throw('not registered')
    expect(() => registry.register('table', {})).to.throw('twice')
  })
})
