import type * as agentCore from '@mustarddeck/agent-core'
import type * as clock from '@mustarddeck/clock'
import type * as messages from '@mustarddeck/messages'
import type * as types from '@mustarddeck/types'
import * as http from 'node:http'
import * as posts from './post.ts'

/** Executes tasks on the backend server, one HTTP request per task. */
export interface BackendClient {
  /** Resolves when the backend server has responded, or the call has failed or was aborted. Never rejects. */
  execute (start: messages.Start): Promise<agentCore.Execution>
  abort (job: types.JobId, index: number): void
}

export interface Settings {
  url: string
  /**
   * Maximum number of concurrent calls. A call above it ends as `not-started` instead of waiting, so that an entry can
   * start the task on another worker.
   */
  connections: number
  /** Maximum size of a response body in bytes; a larger body fails the task. */
  maxResultBytes: number
}

/** Short because the backend server is on the same machine: if it takes longer to connect, it is not running. */
const CONNECT_TIMEOUT_MS = 1000
/** Longest delay that `setTimeout` supports. */
const MAX_TIMEOUT_MS = 2 ** 31 - 1
const MAX_MESSAGE_LENGTH = 500
const NOT_STARTED_HEADER = 'mustarddeck-not-started'

const NOT_STARTED: agentCore.Execution = { kind: 'not-started' }

interface Call {
  controller: AbortController
  isAborted: boolean
}

type Failure = Extract<messages.TaskEnd, { kind: 'failed' }>

/** Returns undefined for a value that cannot be serialized as JSON. */
const serialize = (payload: unknown): string | undefined => {
  try {
    return JSON.stringify(payload) ?? 'null'
  } catch {
    return undefined
  }
}

export const create = ({ url, connections, maxResultBytes }: Settings, time: clock.Clock): BackendClient => {
  // Every call uses a new connection. If the backend server closed a kept-alive connection while a request is sent, it
  // would be unclear whether the task was started.
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

  const executionOfResponse = ({ statusCode, headers, body }: posts.Response, runMs: number): agentCore.Execution => {
    if (statusCode === 503 && headers[NOT_STARTED_HEADER] === 'true') return NOT_STARTED
    if (statusCode < 200 || statusCode > 299) return failed('backend-error', `status ${statusCode}: ${body}`, runMs)
    if (!headers['content-type']?.includes('json')) return { kind: 'finished', result: body, runMs }
    try {
      return { kind: 'finished', result: JSON.parse(body), runMs }
    } catch {
      return failed('backend-error', `status ${statusCode}: the body is not JSON`, runMs)
    }
  }
  const executionOfFailure = (
    { connected, abortReason, message }: posts.Outcome & { kind: 'failed' }, { isAborted }: Call, runMs: number
  ): agentCore.Execution => {
    if (isAborted) return { kind: 'cancelled', runMs }
    if (!connected) return NOT_STARTED
    if (abortReason === 'too-large') return failed('backend-error', message, runMs)
    return failed(abortReason ?? 'connection-lost', message, runMs)
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
      return outcome.kind === 'answered' ? executionOfResponse(outcome.answer, runMs) : executionOfFailure(outcome, call, runMs)
    },
    abort: (job, index) => {
      const call = calls.get(keyOf(job, index))
      if (!call) return
      call.isAborted = true
      call.controller.abort()
    }
  }
}
