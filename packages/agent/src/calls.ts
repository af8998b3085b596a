import type * as agentCore from '@mustarddeck/agent-core'
import type * as clock from '@mustarddeck/clock'
import type * as messages from '@mustarddeck/messages'
import type * as types from '@mustarddeck/types'
import * as http from 'node:http'
import * as posts from './post.ts'

/** Calls to the backend server, one per task. */
export interface Calls {
  /** Ends when the backend server has answered, or the call has failed or was aborted. Never rejects. */
  execute (start: messages.Start): Promise<agentCore.Execution>
  abort (job: types.JobId, index: number): void
}

export interface Settings {
  url: string
  /**
   * Largest number of calls at once. A call above it has not started; it does not wait, since an entry can start the
   * task elsewhere meanwhile.
   */
  connections: number
  /** Largest answer of the backend server; a larger one is a failure of the task. */
  maxResultBytes: number
}

/** A backend server runs on the same machine; one that takes longer to accept a connection does not run. */
const CONNECT_TIMEOUT_MS = 1000
/** Largest delay of a timer. */
const MAX_TIMEOUT_MS = 2 ** 31 - 1
const MAX_MESSAGE_LENGTH = 500
const NOT_STARTED_HEADER = 'mustarddeck-not-started'

const NOT_STARTED: agentCore.Execution = { kind: 'not-started' }

interface Call {
  controller: AbortController
  isAborted: boolean
}

type Failure = Extract<messages.TaskEnd, { kind: 'failed' }>

/** Undefined for a value that JSON cannot express. */
const serialize = (payload: unknown): string | undefined => {
  try {
    return JSON.stringify(payload) ?? 'null'
  } catch {
    return undefined
  }
}

export const create = ({ url, connections, maxResultBytes }: Settings, time: clock.Clock): Calls => {
  // Every call has a connection of its own. On a kept connection that the backend server closes at the same moment,
  // nobody could tell whether the task was started.
  const agent = new http.Agent({ keepAlive: false })
  const target = new URL(url)
  const calls = new Map<string, Call>()
  const keyOf = (job: types.JobId, index: number): string => `${job}/${index}`

  const send = (start: messages.Start, body: string, { controller }: Call): Promise<posts.Outcome> => posts.post({
    url: target,
    agent,
    headers: {
      'content-type': 'application/json',
      'mustarddeck-job': start.job,
      'mustarddeck-task': String(start.index),
      'mustarddeck-attempt': String(start.attempt),
      'mustarddeck-time-limit-ms': String(start.limitMs)
    },
    body,
    signal: controller.signal,
    limitMs: Math.min(MAX_TIMEOUT_MS, Math.max(1, Math.ceil(start.limitMs))),
    connectMs: CONNECT_TIMEOUT_MS,
    maxBytes: maxResultBytes
  })

  const failed = (reason: Failure['reason'], message: string, runMs: number): Failure =>
    ({ kind: 'failed', reason, message: message.slice(0, MAX_MESSAGE_LENGTH), runMs })

  const readAnswer = ({ statusCode, headers, body }: posts.Answer, runMs: number): agentCore.Execution => {
    if (statusCode === 503 && headers[NOT_STARTED_HEADER] === 'true') return NOT_STARTED
    if (statusCode < 200 || statusCode > 299) return failed('backend-error', `status ${statusCode}: ${body}`, runMs)
    if (!headers['content-type']?.includes('json')) return { kind: 'finished', result: body, runMs }
    try {
      return { kind: 'finished', result: JSON.parse(body), runMs }
    } catch {
      return failed('backend-error', `status ${statusCode}: the body is not JSON`, runMs)
    }
  }
  const readFailure = (
    { connected, ending, message }: posts.Outcome & { kind: 'failed' }, { isAborted }: Call, runMs: number
  ): agentCore.Execution => {
    if (isAborted) return { kind: 'cancelled', runMs }
    if (!connected) return NOT_STARTED
    if (ending === 'too-large') return failed('backend-error', message, runMs)
    return failed(ending ?? 'connection-lost', message, runMs)
  }

  return {
    execute: async (start) => {
      if (calls.size >= connections) return NOT_STARTED
      const key = keyOf(start.job, start.index)
      const call: Call = { controller: new AbortController(), isAborted: false }
      const startedAt = time.monotonic()
      const body = serialize(start.payload)
      if (body === undefined) return failed('backend-error', 'the payload has no form in JSON', 0)
      calls.set(key, call)
      const outcome = await send(start, body, call)
      calls.delete(key)
      const runMs = time.monotonic() - startedAt
      return outcome.kind === 'answered' ? readAnswer(outcome.answer, runMs) : readFailure(outcome, call, runMs)
    },
    abort: (job, index) => {
      const call = calls.get(keyOf(job, index))
      if (!call) return
      call.isAborted = true
      call.controller.abort()
    }
  }
}
