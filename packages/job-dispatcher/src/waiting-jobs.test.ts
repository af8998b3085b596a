import * as random from '@mustarddeck/random'
import type * as runs from '@mustarddeck/runs'
import { expect } from 'chai'
import type * as interfaces from './interface.ts'
import * as jobs from './jobs.ts'
import * as waitingJobs from './waiting-jobs.ts'

const jobOf = (priority: number, objectiveMs: number, service: string): jobs.JobState => jobs.create({
  key: 'a' as runs.JobKey,
  queue: { name: 'slip' as interfaces.QueueName, service, priority, maxAttempts: 1, stretch: 1, objectiveMs },
  spec: '',
  steps: [],
  callerTimeoutMs: 1000
}, 0, () => 0, () => {})

describe('waiting jobs', () => {
  it('are in the order of a stable sort by urgency after any additions and removals', () => {
    const { integer, pick } = random.create(7)
    const waiting = waitingJobs.create()
    let members: jobs.JobState[] = []
    for (let step = 0; step < 2000; step++) {
      if (members.length > 0 && integer(0, 2) === 0) {
        const removed = pick(members)
        waiting.delete(removed)
        members = members.filter((job) => job !== removed)
      } else {
        const added = jobOf(integer(0, 2), integer(0, 20), pick(['corkbook', 'benchdesk']))
        waiting.add(added)
        waiting.add(added)
        members.push(added)
      }
      const expected = [...members].sort(jobs.compareUrgency)
      expect([...waiting]).to.have.ordered.members(expected)
      expect(waiting.size).to.equal(members.length)
      expect(waiting.mostUrgent('benchdesk')).to.equal(expected.find(({ job }) => job.queue.service === 'benchdesk'))
    }
  })
})
