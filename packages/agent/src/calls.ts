import type * as agentCore from '@mustarddeck/agent-core'
import type * as clock from '@mustarddeck/clock'
import type * as messages from '@mustarddeck/messages'
import type * as types from '@mustarddeck/types'
import * as got from 'got'
import * as http from 'node:http'

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
  /** Why this side ended the call. */
  stoppedBy: 'abort' | 'size' | undefined
  /** A connection was made, so that the backend server may have got the request. */
  connected: boolean
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
  const client = got.got.extend({
    agent: { http: agent },
    timeout: { connect: CONNECT_TIMEOUT_MS },
    retry: { limit: 0 },
    followRedirect: false,
    throwHttpErrors: false,
    decompress: false
  })
  const calls = new Map<string, Call>()
  const keyOf = (job: types.JobId, index: number): string => `${job}/${index}`

  /** Notes when the connection of a request is made; until then, no byte of the request has left. */
  const track = (call: Call): got.RequestFunction => (target, options) => {
    const request = http.request(target, options)
    request.once('socket', (socket) => {
      if (socket.connecting) socket.once('connect', () => { call.connected = true })
      else call.connected = true
    })
    return request
  }

  const post = (start: messages.Start, body: string, call: Call): Promise<got.Response<string>> => {
    const request = client.post(url, {
      body,
      headers: {
        'content-type': 'application/json',
        'mustarddeck-job': start.job,
        'mustarddeck-task': String(start.index),
        'mustarddeck-attempt': String(start.attempt),
        'mustarddeck-time-limit-ms': String(start.limitMs)
      },
      request: track(call),
      signal: call.controller.signal,
      timeout: { request: Math.min(MAX_TIMEOUT_MS, Math.max(1, Math.ceil(start.limitMs))) }
    })
    request.on('downloadProgress', ({ transferred }) => {
      if (transferred > maxResultBytes) stop(call, 'size')
    })
    return request
  }
  const stop = (call: Call, reason: Call['stoppedBy']): void => {
    call.stoppedBy ??= reason
    call.controller.abort()
  }

  const failed = (reason: Failure['reason'], message: string, runMs: number): Failure =>
    ({ kind: 'failed', reason, message: message.slice(0, MAX_MESSAGE_LENGTH), runMs })

  const readAnswer = ({ statusCode, headers, body }: got.Response<string>, runMs: number): agentCore.Execution => {
    if (statusCode === 503 && headers[NOT_STARTED_HEADER] === 'true') return NOT_STARTED
    if (statusCode < 200 || statusCode > 299) return failed('backend-error', `status ${statusCode}: ${body}`, runMs)
    if (!headers['content-type']?.includes('json')) return { kind: 'finished', result: body, runMs }
    try {
      return { kind: 'finished', result: JSON.parse(body), runMs }
    } catch {
      return failed('backend-error', `status ${statusCode}: the body is not JSON`, runMs)
    }
  }
  const readError = (error: unknown, call: Call, runMs: number): agentCore.Execution => {
    if (call.stoppedBy === 'abort') return { kind: 'cancelled', runMs }
    if (!call.connected) return NOT_STARTED
    if (call.stoppedBy === 'size') return failed('backend-error', `answer above ${maxResultBytes} bytes`, runMs)
    if (error instanceof got.TimeoutError) return failed('time-limit', error.message, runMs)
    return failed('connection-lost', error instanceof Error ? error.message : String(error), runMs)
  }

  return {
    execute: async (start) => {
      if (calls.size >= connections) return NOT_STARTED
      const key = keyOf(start.job, start.index)
      const call: Call = { controller: new AbortController(), stoppedBy: undefined, connected: false }
      const startedAt = time.monotonic()
      const body = serialize(start.payload)
      if (body === undefined) return failed('backend-error', 'the payload has no form in JSON', 0)
      calls.set(key, call)
      try {
        const answer = await post(start, body, call)
        return readAnswer(answer, time.monotonic() - startedAt)
      } catch (error) {
        return readError(error, call, time.monotonic() - startedAt)
      } finally {
        calls.delete(key)
      }
    },
    abort: (job, index) => {
      const call = calls.get(keyOf(job, index))
      if (call) stop(call, 'abort')
    }
  }
}
