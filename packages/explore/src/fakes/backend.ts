import type * as agentCore from '@mustarddeck/agent-core'
import type * as clock from '@mustarddeck/clock'
import type * as messages from '@mustarddeck/messages'
import type * as random from '@mustarddeck/random'
import type * as types from '@mustarddeck/types'

export type BackendFault = 'none' | 'refuse' | 'error' | 'lose'

/** One start of a task, as the backend server saw it. */
export interface Start {
  job: types.JobId
  index: number
  name: types.TaskName
  token: string
  worker: string
  /** Agent incarnation that made the call. */
  agent: types.Incarnation
  at: number
  end?: { kind: 'finished', result: string, at: number } | { kind: 'failed' | 'cancelled', at: number }
}

export interface Payload {
  /** Identifies the content of one submission. */
  token: string
  runMs: number
}

interface Call {
  start: messages.Start
  record?: Start
  done: boolean
  callback: (execution: agentCore.Execution) => void
}

/** Backend server beside one agent. `starts` is shared by all of them and is the independent record of a run. */
export interface Backend {
  fault (fault: BackendFault): void
  call (start: messages.Start, agent: types.Incarnation, callback: (execution: agentCore.Execution) => void): void
  abort (job: types.JobId, index: number): void
  /** The agent process died: its calls go on without anybody who waits for them. */
  disconnect (): void
  running (): number
}

export const create = ({ timers, random, worker, starts }: {
  timers: clock.Timers, random: random.Random, worker: string, starts: Start[]
}): Backend => {
  let fault: BackendFault = 'none'
  let calls: Call[] = []

  const settle = (call: Call, execution: agentCore.Execution): void => {
    if (call.done) return
    call.done = true
    calls = calls.filter((other) => other !== call)
    call.callback(execution)
  }
  const begin = (call: Call, agent: types.Incarnation): void => {
    const { job, index, name, limitMs } = call.start
    const { token, runMs } = call.start.payload as Payload
    const at = timers.monotonic()
    const record: Start = { job, index, name, token, worker, agent, at }
    call.record = record
    starts.push(record)
    const failing = fault
    timers.after(runMs, () => {
      if (record.end) return
      const endedAt = timers.monotonic()
      const result = `${token}/${index}@${worker}#${starts.indexOf(record)}`
      const failed = failing === 'error'
      record.end = failed ? { kind: 'failed', at: endedAt } : { kind: 'finished', result, at: endedAt }
      settle(call, failed
        ? { kind: 'failed', reason: 'backend-error', message: 'injected', runMs }
        : { kind: 'finished', result, runMs })
    })
    if (failing === 'lose') {
      timers.after(runMs * random.float(), () =>
        settle(call, { kind: 'failed', reason: 'connection-lost', message: 'injected', runMs: timers.monotonic() - at }))
    }
    timers.after(limitMs, () => {
      if (call.done) return
      record.end = { kind: 'failed', at: timers.monotonic() }
      settle(call, { kind: 'failed', reason: 'time-limit', message: 'time limit', runMs: limitMs })
    })
  }
  return {
    fault: (next) => { fault = next },
    call: (start, agent, callback) => {
      const call: Call = { start, done: false, callback }
      calls.push(call)
      timers.after(0.2 + random.exponential(random.float() < 0.1 ? 20 : 0.5), () => {
        if (call.done) return
        if (fault === 'refuse') settle(call, { kind: 'not-started' })
        else begin(call, agent)
      })
    },
    abort: (job, index) => {
      const call = calls.find((other) => other.start.job === job && other.start.index === index)
      if (!call) return
      timers.after(random.float() * 5, () => {
        if (call.done) return
        const at = timers.monotonic()
        if (call.record && !call.record.end) call.record.end = { kind: 'cancelled', at }
        settle(call, { kind: 'cancelled', runMs: call.record ? at - call.record.at : 0 })
      })
    },
    disconnect: () => {
      for (const call of calls) {
        call.callback = () => {}
        // A request that the backend server has not read yet may still reach it.
        if (!call.record && random.float() < 0.5) call.done = true
      }
      calls = []
    },
    running: () => calls.length
  }
}
