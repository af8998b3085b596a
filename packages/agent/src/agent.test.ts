import { expect } from 'chai'
import type * as messages from '@mustarddeck/messages'
import type * as types from '@mustarddeck/types'
import * as harness from './testing/harness.ts'

describe('agent', () => {
  let context: Awaited<ReturnType<typeof harness.create>>
  const begin = async (options?: harness.Options): Promise<void> => {
    context = await harness.create(options)
    await context.entry.next('grant')
  }
  const run = async (start: messages.Start): Promise<messages.Finished | messages.Rejected> => {
    context.entry.send(start)
    return context.entry.next(['finished', 'rejected'], ({ job }) => job === start.job)
  }
  const get = async (path: string) => {
    const response = await fetch(`http://${context.address}${path}`)
    return { status: response.status, text: await response.text() }
  }
  const members = async (): Promise<types.Member[]> => {
    const result = await context.registry.read()
    if (result.kind === 'error') throw new Error(result.error.kind)
    return result.value.members
  }
  afterEach(() => context.stop())

  it('runs a task on the backend server and reports its result', async () => {
    await begin()
    const finished = await run(harness.start(1, { attempt: 3 }))
    expect(finished).to.have.nested.property('outcome.result').that.deep.equals({
      job: harness.start(1).job, task: '0', attempt: '3', payload: { sequence: 1 }
    })
  })

  // A task that may have started must never be started again, whichever entry asks.
  it('starts a task once, also after it ended or failed', async () => {
    await begin()
    for (const [sequence, fault] of [[1, 'none'], [2, 'fail'], [3, 'close']] as const) {
      await run(harness.start(sequence, { payload: { fault } }))
      expect(await run(harness.start(sequence, { attempt: 2 }))).to.include({ kind: 'rejected', reason: 'duplicate' })
    }
    expect(context.backend.report()).to.include({ starts: 3, tasks: 3 })
  })

  it('reports a refusal by the backend server as not started, and allows the task to start later', async () => {
    await begin()
    const refused = await run(harness.start(1, { payload: { fault: 'refuse' } }))
    expect(refused).to.include({ kind: 'rejected', reason: 'backend-unreachable' })
    expect(await run(harness.start(1, { attempt: 2 }))).to.have.nested.property('outcome.kind', 'finished')
    expect(context.backend.report()).to.include({ starts: 1, refused: 1 })
  })

  it('reports errors of the backend server as failures', async () => {
    await begin()
    const cases = [['fail', 'backend-error'], ['close', 'connection-lost'], ['hang', 'time-limit']] as const
    for (const [position, [fault, reason]] of cases.entries()) {
      const finished = await run(harness.start(position, { payload: { fault }, limitMs: fault === 'hang' ? 50 : 10_000 }))
      expect(finished, fault).to.have.property('outcome').that.includes({ kind: 'failed', reason })
    }
  })

  it('aborts the call of a cancelled task', async () => {
    await begin()
    const start = harness.start(1, { payload: { fault: 'hang' } })
    const ended = run(start)
    await context.line(/event=start /)
    context.entry.send({ kind: 'cancel-tasks', job: start.job, indexes: [0] })
    expect(await ended).to.have.nested.property('outcome.kind', 'cancelled')
  })

  it('stops gracefully: running tasks end, the row is cleared, and no new task starts', async () => {
    await begin()
    await context.entry.next('registered')
    expect(await members()).to.have.length(1)
    const running = run(harness.start(1, { payload: { runMs: 200 } }))
    await context.line(/event=start /)
    const stopped = context.agent.stop()
    expect(await context.entry.next('leaving')).to.include({ drained: false })
    expect(await get('/live')).to.include({ status: 200 })
    expect(await get('/ready')).to.include({ status: 503 })
    expect(await run(harness.start(2))).to.include({ kind: 'rejected', reason: 'leaving' })
    expect(await running).to.have.nested.property('outcome.kind', 'finished')
    await stopped
    expect(await members()).to.deep.equal([])
    expect(context.entry.isUp()).to.equal(false)
    expect(context.backend.report()).to.include({ starts: 1, finished: 1, aborted: 0 })
  })

  it('runs tasks while the store is down, and registers when it is available again', async () => {
    await begin({ faults: { down: true } })
    expect(await run(harness.start(1))).to.have.nested.property('outcome.kind', 'finished')
    await context.line(/event=registration-failed .*reason=unavailable/)
    const inView = harness.start(2, { job: harness.jobId('r0', 2) })
    expect(await run(inView)).to.include({ kind: 'rejected', reason: 'unregistered' })
    context.store.faults.down = false
    await context.entry.next('registered')
    expect(await run({ ...inView, attempt: 2 })).to.have.nested.property('outcome.kind', 'finished')
  })

  // A removed incarnation must never register again: owners may already have stopped relying on its start records.
  it('continues under a new incarnation after its incarnation was removed from its row', async () => {
    await begin()
    await context.entry.next('registered')
    const [member] = await members()
    await context.registry.depart(member!)
    context.entry.send({ kind: 'departed', incarnation: member!.incarnation })
    await context.line(/event=new-incarnation/)
    await context.entry.next('registered')
    const [renewed, ...others] = await members()
    expect(others).to.deep.equal([])
    expect(renewed!.worker).to.equal('waco-1')
    expect(renewed!.incarnation).not.to.equal(member!.incarnation)
    expect(context.entry.hellos.at(-1)!.incarnation).to.equal(renewed!.incarnation)
    await context.entry.next('grant')
    expect(await run(harness.start(1))).to.have.nested.property('outcome.kind', 'finished')
  })

  it('serves /live, /ready and /metrics, and logs neither the key nor payloads', async () => {
    await begin()
    expect(await get('/ready')).to.deep.equal({ status: 200, text: 'ready\n' })
    expect(await get('/elsewhere')).to.include({ status: 404 })
    await get('/metrics')
    await run(harness.start(1, { payload: { secret: 'payload-text' } }))
    const { text } = await get('/metrics')
    expect(text).to.match(/^mustarddeck_links 1$/m)
    expect(text).to.match(/^mustarddeck_link_messages_total\{direction="received",kind="start"\} 1$/m)
    expect(text).to.match(/^mustarddeck_link_bytes_total\{direction="sent"\} \d+$/m)
    expect(text).to.match(/^mustarddeck_agent_calls_total\{end="finished"\} 1$/m)
    expect(text).to.match(/^mustarddeck_agent_run_seconds_count\{end="finished"\} 1$/m)
    expect(context.lines.join('')).not.to.match(/payload-text|a shared key/)
  })
})
