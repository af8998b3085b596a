import * as clock from '@mustarddeck/clock'
import * as logging from '@mustarddeck/log'
import type * as runs from '@mustarddeck/runs'
import { expect } from 'chai'
import * as agentSelection from './agent-selection.ts'
import * as fleet from './agents.ts'
import type * as interfaces from './interface.ts'
import * as jobs from './jobs.ts'
import * as rackWait from './rack-wait.ts'
import * as rackWaits from './rack-waits.ts'
import * as racks from './racks.ts'

const AMOUNT = { millicores: 1000, memoryMb: 64, accelerators: 0 }
const CAPACITY = { millicores: 4000, memoryMb: 10_000, accelerators: 0 }
const RUN_MS = 200
const FAR_FACTOR = 3
const QUEUE: interfaces.Queue = {
  name: 'slip' as interfaces.QueueName, service: 'corkbook', priority: 0, maxAttempts: 1, stretch: 2, objectiveMs: 1000
}

interface WorkerSettings { rack?: string, speed?: number, free?: number, leaving?: boolean }

const setUp = (workers: WorkerSettings[]) => {
  const timers = clock.createVirtual()
  const agents = fleet.create()
  const speeds = workers.map(({ speed = 1 }) => speed)
  const reads = { free: 0 }
  workers.forEach(({ rack = 'r1', free = 4, leaving = false }, index) => {
    const agent = agents.up(index, `agent-${index}`, 'incarnation')
    const worker: runs.Worker = {
      id: `i-${index}` as runs.WorkerId,
      bornMs: 1,
      service: 'corkbook',
      zone: 'khangai-a',
      capacity: CAPACITY,
      labels: ['a', rack],
      leaving
    }
    const reported = { ...CAPACITY, millicores: free * AMOUNT.millicores }
    agents.update(agent, { kind: 'room', sequence: 0, sharers: 1, worker, free: reported })
    let current = agent.free
    Object.defineProperty(agent, 'free', {
      get: () => {
        reads.free++
        return current
      },
      set: (value: runs.Resources) => { current = value }
    })
  })
  const outcomes: string[] = []
  const waits = rackWaits.create({
    timers, log: logging.create({ level: 'error' }), onRackWait: (outcome) => outcomes.push(outcome)
  })
  const createPass = (): agentSelection.SelectionContext => ({
    ...agentSelection.createPass(timers.monotonic()),
    zone: 'khangai-a',
    candidates: [...agents.all()],
    policy: new rackWait.ByCost(),
    waits,
    expectedRunMs: (_task, agent, far) => RUN_MS * (far ? FAR_FACTOR : 1) / (agent ? speeds[agent.link]! : 1)
  })
  const taskOf = (changes: Partial<interfaces.Task> = {}, maxPerWorker = Infinity): jobs.TaskState => jobs.create({
    key: 'a' as runs.JobKey,
    queue: QUEUE,
    spec: '',
    callerTimeoutMs: 5000,
    steps: [{
      after: [],
      maxPerWorker,
      tasks: [{
        id: 'a.0.0.0' as runs.TaskId, amount: AMOUNT, estimateMs: RUN_MS, label: undefined, rack: undefined, ...changes
      }]
    }]
  }, timers.monotonic(), () => RUN_MS, () => {}).tasks[0]!
  /** A task of the second of two steps, after the job's latest start. */
  const laterTaskOf = (rack: string): jobs.TaskState => {
    const { job } = taskOf({ rack })
    const steps = [job.job.steps[0]!, { ...job.job.steps[0]!, after: [0] }]
    const [, task] = jobs.create({ ...job.job, steps }, timers.monotonic(), () => RUN_MS, () => {}).tasks
    task!.phase = 'waiting'
    task!.job.latestStart = timers.monotonic() - 10
    return task!
  }
  const choose = (task: jobs.TaskState, pass = createPass()): string | undefined => {
    const choice = agentSelection.chooseAgent(agents, task, pass)
    waits.apply(task, choice)
    return rackWait.isWait(choice) ? 'wait' : choice?.name
  }
  /** Lets a task of this entry run on the agent; it takes the worker's remaining room. */
  const occupy = (link: number): void => {
    const task = taskOf({ amount: CAPACITY, id: `b.0.0.${link}` as runs.TaskId })
    task.orderedAt = timers.monotonic()
    agents.get(link)!.tasks.set(task.task.id, task)
  }
  return { agents, choose, createPass, laterTaskOf, occupy, outcomes, reads, taskOf, timers }
}

describe('selection of an agent', () => {
  it('prefers the worker on which the run is expected to end first', () => {
    const { choose, taskOf } = setUp([{ speed: 0.7 }, { speed: 1.7, free: 1 }, { speed: 1 }])
    expect(choose(taskOf())).to.equal('agent-1')
  })

  it('prefers the larger free share of workers of one speed', () => {
    const { choose, taskOf } = setUp([{ free: 2 }, { free: 3 }, { free: 1 }])
    expect(choose(taskOf())).to.equal('agent-1')
  })

  // A task that failed on the fastest worker would otherwise come back to it.
  it('uses an agent on which the task failed only if there is no other one, however slow', () => {
    const { choose, taskOf } = setUp([{ speed: 4 }, { speed: 0.2 }])
    const task = taskOf()
    task.avoidedAgents.add('agent-0')
    expect(choose(task)).to.equal('agent-1')
  })

  it('takes a fast worker elsewhere if the run ends sooner there than on the task\'s rack', () => {
    const { choose, taskOf } = setUp([{ rack: 'r1', speed: 0.5 }, { rack: 'r2', speed: 2 }])
    expect(choose(taskOf({ rack: 'r1' }))).to.equal('agent-1')
  })

  // A report of room elsewhere may come between the end of a task's failed run and its next placement.
  it('takes the free rack of the task in a pass over the room of an agent elsewhere', () => {
    const { agents, choose, createPass, taskOf } = setUp([{ rack: 'r1' }, { rack: 'r2' }])
    expect(choose(taskOf({ rack: 'r1' }), { ...createPass(), candidates: [agents.get(1)!] })).to.equal('agent-0')
  })

  it('waits for a full rack whose room is expected soon, and not for one without reachable workers', () => {
    const { choose, occupy, taskOf } = setUp([{ rack: 'r1', free: 0 }, { rack: 'r2' }])
    occupy(0)
    expect(choose(taskOf({ rack: 'r1' }))).to.equal('wait')
    expect(choose(taskOf({ rack: 'r3' }))).to.equal('agent-1')
  })

  // The task would otherwise wait for the worker on which it failed, or return to it after a failure.
  it('neither waits for a rack on whose only worker the task has failed, nor runs there after a wait', () => {
    const { agents, choose, createPass, occupy, taskOf } = setUp([{ rack: 'r1', free: 0 }, { rack: 'r2' }])
    occupy(0)
    const [first, second, other] = [taskOf({ rack: 'r1' }), taskOf({ rack: 'r1' }), taskOf({ rack: 'r1' })]
    first.avoidedAgents.add('agent-0')
    expect(choose(first)).to.equal('agent-1')
    expect([choose(second), choose(other)]).to.deep.equal(['wait', 'wait'])
    second.avoidedAgents.add('agent-0')
    agents.get(0)!.free = CAPACITY
    const pass = createPass()
    expect([choose(second, pass), choose(other, pass)]).to.deep.equal(['wait', 'agent-0'])
  })

  // Only the agent that still has an earlier run of the task may get it.
  it('does not let a task wait that may be placed with one agent elsewhere only', () => {
    const { choose, occupy, taskOf } = setUp([{ rack: 'r1', free: 0 }, { rack: 'r2' }])
    occupy(0)
    const task = Object.assign(taskOf({ rack: 'r1' }), { heldBy: 'agent-1', heldUntil: Infinity })
    expect(choose(task)).to.equal('agent-1')
  })

  // Other entries want the room of a full rack even if the rest of the fleet is idle; callers were served later than
  // without waits when the busy share of the fleet was used.
  it('expects other entries to take their part of a full rack\'s room in a calm fleet', () => {
    const { agents, occupy, timers } = setUp([{ rack: 'r1', free: 0 }, { rack: 'r2' }, { rack: 'r2' }])
    occupy(0)
    const roomInMs = (entryCount: number): number => {
      agents.get(0)!.entryCount = entryCount
      const view = racks.createView({ usable: agents.all(), now: timers.monotonic(), expectedRunMs: () => RUN_MS })
      return view.roomInMs('r1', AMOUNT, 3, 0, RUN_MS)
    }
    expect([roomInMs(1), roomInMs(2)]).to.deep.equal([RUN_MS, Infinity])
  })

  // Tasks that wait already will take the room that becomes free first.
  it('counts the tasks that wait for the rack already', () => {
    const { choose, createPass, occupy, taskOf } = setUp([{ rack: 'r1', free: 0 }, { rack: 'r2' }])
    occupy(0)
    const pass = createPass()
    const choices = Array.from({ length: 6 }, () => choose(taskOf({ rack: 'r1' }), pass))
    expect(choices).to.deep.equal(['wait', 'wait', 'wait', 'wait', 'agent-1', 'agent-1'])
  })

  it('takes the room of the rack during the wait, but no room elsewhere', () => {
    const { agents, choose, occupy, outcomes, taskOf } = setUp([{ rack: 'r1', free: 0 }, { rack: 'r2' }])
    occupy(0)
    const task = taskOf({ rack: 'r1' })
    expect([choose(task), choose(task)]).to.deep.equal(['wait', 'wait'])
    agents.get(0)!.free = CAPACITY
    expect(choose(task)).to.equal('agent-0')
    expect(outcomes).to.deep.equal(['near'])
  })

  it('ends a wait when a worker of the rack leaves rotation, is leaving or is lost', () => {
    const losses: Array<(agents: fleet.Agents) => void> = [
      (agents) => { agents.get(1)!.health.out = true },
      (agents) => { agents.get(1)!.worker!.leaving = true },
      (agents) => { agents.down(1, 0) }
    ]
    for (const lose of losses) {
      const { agents, choose, occupy, outcomes, taskOf } = setUp([
        { rack: 'r1', free: 0 }, { rack: 'r1', free: 0 }, { rack: 'r2' }])
      occupy(0)
      occupy(1)
      const task = taskOf({ rack: 'r1' })
      expect(choose(task)).to.equal('wait')
      lose(agents)
      expect([choose(task), choose(task)]).to.deep.equal(['agent-2', 'agent-2'])
      expect(outcomes).to.deep.equal(['capacity-fell'])
    }
  })

  it('ends a wait by the job\'s latest start, and begins no other one', () => {
    const { choose, occupy, outcomes, taskOf, timers } = setUp([{ rack: 'r1', free: 0 }, { rack: 'r2' }])
    occupy(0)
    const task = taskOf({ rack: 'r1' })
    expect(choose(task)).to.equal('wait')
    expect(task.rackWait!.until).to.be.below(task.job.latestStart)
    timers.advance(task.rackWait!.until - timers.monotonic())
    occupy(0)
    expect(choose(task)).to.equal('agent-1')
    expect(outcomes).to.deep.equal(['expired'])
  })

  it('lets a task of a later step wait up to its own latest start', () => {
    const { choose, laterTaskOf, occupy, timers } = setUp([{ rack: 'r1', free: 0 }, { rack: 'r2' }])
    occupy(0)
    timers.advance(100)
    const task = laterTaskOf('r1')
    expect(choose(task)).to.equal('wait')
    // The second of two runs of 200 ms has to start 200 ms after the first.
    expect(task.rackWait!.until).to.be.within(timers.monotonic() + 100, task.job.latestStart + RUN_MS)
  })

  // Hundreds of waiting tasks are looked at in each pass.
  it('looks at each agent a bounded number of times in a pass, however many tasks wait', () => {
    const count = (tasks: number, changes: Partial<interfaces.Task>, maxPerWorker: number): number => {
      const isForRack = changes.rack !== undefined
      const workers = Array.from({ length: 50 }, () => ({ rack: 'r1', free: 0 }))
      const { agents, choose, createPass, occupy, reads, taskOf } = setUp([...workers, { rack: 'r2', free: isForRack ? 4 : 0 }])
      workers.forEach((_, link) => occupy(link))
      const states = Array.from({ length: tasks }, () => taskOf(changes, maxPerWorker))
      const expected = isForRack ? 'wait' : undefined
      expect(states.map((task) => choose(task))).to.deep.equal(states.map(() => expected))
      const pass = createPass()
      reads.free = 0
      expect(states.map((task) => choose(task, pass))).to.deep.equal(states.map(() => expected))
      return reads.free / [...agents.all()].length
    }
    for (const [changes, maxPerWorker] of [[{}, Infinity], [{}, 1], [{ rack: 'r1' }, Infinity]] as const) {
      expect(count(100, changes, maxPerWorker)).to.be.at.most(count(10, changes, maxPerWorker)).and.at.most(4)
    }
  })
})

describe('a group of tasks', () => {
  const setUpGroup = () => {
    const created = setUp([{ rack: 'r1', free: 0 }, { rack: 'r2', free: 0 }, { rack: 'r2' }])
    const { agents, occupy, taskOf, timers } = created
    occupy(0)
    const { task } = taskOf()
    const { job } = taskOf().job
    const steps = [{ ...job.steps[0]!, sameRack: true, tasks: [task, task, task] }]
    const group = jobs.create({ ...job, steps }, timers.monotonic(), () => RUN_MS, () => {}).tasks
    const place = (member: jobs.TaskState, link: number): void => {
      const agent = agents.get(link)!
      jobs.setPlace(member, agent)
      Object.assign(member, { phase: 'ordered', agent })
      jobs.adjustPlaced(member, agent, 1)
    }
    return { ...created, group, place }
  }

  it('has its runs marked as far once they are on more than one rack', () => {
    const { group, place } = setUpGroup()
    place(group[0]!, 1)
    place(group[1]!, 2)
    expect(group.map(({ place }) => place?.far)).to.deep.equal([false, false, undefined])
    place(group[2]!, 0)
    expect(group.map(({ place }) => place?.far)).to.deep.equal([true, true, true])
  })

  // A retry elsewhere may have taken the group to another rack.
  it('does not wait for a rack when it has been placed on another one', () => {
    const { choose, group, outcomes, place } = setUpGroup()
    place(group[0]!, 0)
    expect(choose(group[1]!)).to.equal('wait')
    place(group[2]!, 1)
    expect(choose(group[1]!)).to.equal('agent-2')
    expect(outcomes).to.deep.equal(['regrouped'])
  })
})

describe('the tasks of a job', () => {
  // A small task would otherwise take the only room in which a large one fits.
  it('are placed the large ones first', () => {
    const tasks = [1, 3, 2].map((size, index): interfaces.Task => ({
      id: `a.0.0.${index}` as runs.TaskId,
      amount: { ...AMOUNT, millicores: size * AMOUNT.millicores },
      estimateMs: RUN_MS,
      label: undefined,
      rack: undefined
    }))
    const steps = [{ after: [], maxPerWorker: Infinity, tasks }]
    const job = { key: 'a' as runs.JobKey, queue: QUEUE, spec: '', callerTimeoutMs: 5000, steps }
    const { tasks: states } = jobs.create(job, 0, () => RUN_MS, () => {})
    expect(states.map(({ task }) => task.amount.millicores)).to.deep.equal([3000, 2000, 1000])
  })
})
