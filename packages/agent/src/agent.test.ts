import { expect } from 'chai'
import type * as messages from '@mustarddeck/messages'
import * as harness from './testing/harness.ts'

describe('agent', () => {
  let parts: Awaited<ReturnType<typeof harness.create>>
  const begin = async (text?: string): Promise<void> => {
    parts = await harness.create(text)
    await parts.entry.next('grant')
  }
  afterEach(() => parts.stop())

  const run = async (start: messages.Start): Promise<messages.Message> => {
    parts.entry.send(start)
    const isOurs = (message: { job: string }): boolean => message.job === start.job
    return Promise.race([parts.entry.next('finished', isOurs), parts.entry.next('rejected', isOurs)])
  }

  it('runs a task on the backend server and reports its result', async () => {
    await begin()
    const finished = await run(harness.start(1, { attempt: 3 }))
    expect(finished).to.have.nested.property('outcome.result').that.deep.equals({
      job: harness.start(1).job, task: '0', attempt: '3', payload: { sequence: 1 }
    })
  })
})
