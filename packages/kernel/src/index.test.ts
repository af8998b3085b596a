import { expect } from 'chai'
import * as kernel from './index.ts'

describe('kernel', () => {
  // A dependency that stops before its users would cut their requests in progress.
  it('stops services in the reverse order of their start, once', async () => {
    const events: string[] = []
    const core = kernel.create()
    for (const name of ['table', 'links', 'api']) {
      core.register(name, { start: () => { events.push(`+${name}`) }, stop: () => { events.push(`-${name}`) } })
    }
    await core.start()
    await Promise.all([core.stop(), core.stop()])
    expect(events).to.deep.equal(['+table', '+links', '+api', '-api', '-links', '-table'])
  })

  it('treats a missing or repeated service as a broken invariant', () => {
    const core = kernel.create()
    core.register('table', {})
    expect(() => core.get('tabel')).to.throw('not registered')
    expect(() => core.register('table', {})).to.throw('twice')
  })
})
