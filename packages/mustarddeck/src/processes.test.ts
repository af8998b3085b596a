import * as fs from 'node:fs'
import { expect } from 'chai'
import type * as entries from '@mustarddeck/entry'
import * as processes from './testing/processes.ts'
import * as samples from './samples.ts'

const METRICS_PAGE = new URL('../../../docs/metrics-reference.md', import.meta.url)

const metricNames = async (address: string): Promise<string[]> => {
  const text = await (await fetch(`http://${address}/metrics`)).text()
  return [...text.matchAll(/^# HELP (\S+)/gm)].map(([, name]) => name!)
}

describe('platform stand-in, backend stand-in, entry and agent as separate processes', function () {
  this.timeout(60_000)
  let deployment: processes.Deployment
  beforeEach(() => { deployment = processes.deploy() })
  afterEach(() => deployment.stop())

  // Detects incompatible interfaces between processes by running jobs through all of them.
  it('run jobs to complete outcomes and stop gracefully', async () => {
    const platform = await deployment.startPlatform()
    const backend = await deployment.startBackend({ runMs: 20 })
    const entry = await deployment.startEntry('entry-1', [])
    const agent = await deployment.startAgent('worker-1', [entry.address], backend)
    const sample = samples.load('corkbook')
    await samples.publish(sample, platform)
    await entry.process.logged('configuration')
    await agent.logged('link-up')
    expect((await fetch(`${entry.url}/ready`)).status).to.equal(200)

    const tasks = Array.from({ length: 20 }, (_, at) => ({ name: `scale-${at}`, payload: { kg: at } }))
    const response = await fetch(`${entry.url}/v1/jobs?waitMs=20000`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ ...sample.job, tasks })
    })
    expect(response.status).to.equal(200)

    // The metrics page must list exactly the exported metrics, since alerts are built from it.
    const exported = await Promise.all([new URL(entry.url).host, await agent.field('agent-started', 'address')].map(metricNames))
    const documented = [...fs.readFileSync(METRICS_PAGE, 'utf8').matchAll(/`([a-z_]+_[a-z_]+)`/g)].map(([, name]) => name)
    expect([...new Set(documented)]).to.have.members([...new Set(exported.flat())])
    const outcome = await response.json() as { kind: string, results: { name: string, result: { payload: unknown } }[] }
    expect(outcome.kind).to.equal('complete')
    expect(outcome.results.map(({ name, result }) => ({ name, payload: result.payload }))).to.deep.equal(tasks)

    // Cancellation must end a hung task before its time limit expires.
    const long = await fetch(`${entry.url}/v1/jobs?waitMs=0`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ ...sample.job, tasks: [{ name: 'long', payload: { fault: 'hang' } }] })
    })
    expect(long.status).to.equal(202)
    const headers = { authorization: `Bearer ${processes.TOKEN}` }
    const status = await (await fetch(`${entry.url}/v1/operator/status`, { headers })).json() as entries.Status
    expect(status.queues.map(({ type, waiting, running }) => [type, waiting + running])).to.deep.equal([['weigh-in', 1]])
    const cancelled = await fetch(entry.url + long.headers.get('location'), { method: 'DELETE' })
    expect(cancelled.status).to.equal(200)
    const ending = await cancelled.json() as { kind: string, reason: string }
    expect([ending.kind, ending.reason]).to.deep.equal(['failed', 'cancelled'])

    for (const process of [...deployment.processes()].reverse()) {
      process.kill('SIGTERM')
      expect(await process.exited, process.output()).to.equal(0)
    }
  })
})
