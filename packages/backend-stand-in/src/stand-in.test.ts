import { expect } from 'chai'
import * as clock from '@mustarddeck/clock'
import * as random from '@mustarddeck/random'
import * as settings from '@mustarddeck/settings'
import * as backend from './index.ts'

const create = (text = ''): backend.BackendStandIn => {
  const result = settings.parse('backend stand-in', `run = { runMs = 0 }\n${text}`, 'test.toml')
  if (result.kind === 'error') throw new Error(result.error.map(settings.format).join('\n'))
  return backend.create({ settings: result.value, timers: clock.createSystem(), random: random.create(1) })
}

describe('backend stand-in', () => {
  let server: backend.BackendStandIn
  let address: string
  beforeEach(async () => {
    server = create()
    address = await server.listen()
  })
  afterEach(() => server.stop())

  const post = (task: number, payload: unknown, signal?: AbortSignal): Promise<Response> =>
    fetch(`http://${address}/run`, {
      method: 'POST',
      headers: { 'content-type': 'application/json', 'mustarddeck-job': 'job', 'mustarddeck-task': String(task) },
      body: JSON.stringify(payload),
      signal
    })
  const report = async (): Promise<backend.Report> =>
    (await fetch(`http://${address}/report`)).json() as Promise<backend.Report>

  // Other tests use these counts to check that a task was started at most once.
  it('counts the starts of each task and echoes its payload', async () => {
    for (const payload of [{ sheet: 7 }, 'text', 3, null, [1]]) {
      const answer = await post(0, payload)
      expect(answer.status).to.equal(200)
      expect(await answer.json()).to.have.property('payload').that.deep.equals(payload)
    }
    await post(1, {})
    expect(await report()).to.include({ starts: 6, tasks: 2, finished: 6, running: 0 })
    expect((await report()).repeated).to.deep.equal([{ task: 'job/0', starts: 5 }])
    expect(await (await fetch(`http://${address}/starts/job/0`)).json()).to.deep.equal({ starts: 5 })
  })

  it('applies the fault in the payload', async () => {
    expect((await post(0, { fault: 'fail' })).status).to.equal(500)
    const refusal = await post(1, { fault: 'refuse' })
    expect(refusal.status).to.equal(503)
    expect(refusal.headers.get('mustarddeck-not-started')).to.equal('true')
    expect(await post(2, { fault: 'close' }).catch((error: Error) => error.message)).to.equal('fetch failed')
    const abort = new AbortController()
    const hanging = post(3, { fault: 'hang' }, abort.signal).catch((error: Error) => error.name)
    while (server.startsOf('job', 3) === 0) await report()
    abort.abort()
    expect(await hanging).to.equal('AbortError')
    while ((await report()).running > 0);
    expect(await report()).to.include({ starts: 3, failed: 1, refused: 1, closed: 1, aborted: 1, finished: 0 })
    expect(server.startsOf('job', 1), 'a refused task has not started').to.equal(0)
  })

  it('changes its behaviour over HTTP and rejects invalid changes', async () => {
    const patch = (change: unknown): Promise<Response> => fetch(`http://${address}/behaviour`, {
      method: 'PATCH', headers: { 'content-type': 'application/json' }, body: JSON.stringify(change)
    })
    expect((await patch({ faults: { fail: 1 } })).status).to.equal(200)
    expect((await post(0, {})).status).to.equal(500)
    expect((await patch({ faults: { fial: 1 } })).status).to.equal(422)
    expect((await patch({ faults: { fail: 2 } })).status).to.equal(422)
    await fetch(`http://${address}/report`, { method: 'DELETE' })
    expect(await report()).to.include({ starts: 0, failed: 0 })
  })
})
