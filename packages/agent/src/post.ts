import * as http from 'node:http'

export interface Answer {
  statusCode: number
  headers: http.IncomingHttpHeaders
  body: string
}

export interface Request {
  url: URL
  agent: http.Agent
  headers: http.OutgoingHttpHeaders
  body: string
  signal: AbortSignal
  /** Longest time in ms of the whole call, and of making the connection. */
  limitMs: number
  connectMs: number
  /** Largest body of the answer. */
  maxBytes: number
}

/** Why this side ended the call; any other failure is an error of the connection. */
export type Ending = 'time-limit' | 'too-large'

export type Outcome =
  | { kind: 'answered', answer: Answer }
  /** `connected`: a connection was made, so that the server may have got the request. */
  | { kind: 'failed', connected: boolean, ending?: Ending, message: string }

const collect = (response: http.IncomingMessage, maxBytes: number, tooLarge: () => void): Promise<string> =>
  new Promise((resolve, reject) => {
    const parts: Buffer[] = []
    let bytes = 0
    response.on('data', (part: Buffer) => {
      bytes += part.length
      if (bytes > maxBytes) tooLarge()
      else parts.push(part)
    })
    response.once('end', () => resolve(Buffer.concat(parts).toString()))
    response.once('error', reject)
    response.once('close', () => reject(new Error('the connection was closed before the end of the answer')))
  })

/** Sends one POST over a connection of the agent. Never rejects and never repeats the request. */
export const post = ({ url, agent, headers, body, signal, limitMs, connectMs, maxBytes }: Request): Promise<Outcome> =>
  new Promise((resolve) => {
    let connected = false
    let ending: Ending | undefined
    const request = http.request(url, {
      agent, method: 'POST', signal, headers: { ...headers, 'content-length': Buffer.byteLength(body) }
    })
    const end = (reason: Ending | undefined, message: string): void => {
      ending ??= reason
      request.destroy(new Error(message))
    }
    const limit = setTimeout(() => end('time-limit', `no answer within ${limitMs} ms`), limitMs)
    const connecting = setTimeout(() => end(undefined, `no connection within ${connectMs} ms`), connectMs)
    const settle = (outcome: Outcome): void => {
      clearTimeout(limit)
      clearTimeout(connecting)
      resolve(outcome)
    }
    const fail = (error: Error): void => settle({ kind: 'failed', connected, ending, message: error.message })
    const noteConnection = (): void => {
      connected = true
      clearTimeout(connecting)
    }
    request.once('socket', (socket) => {
      if (socket.connecting) socket.once('connect', noteConnection)
      else noteConnection()
    })
    request.on('error', fail)
    request.once('response', (response) => {
      collect(response, maxBytes, () => end('too-large', `answer above ${maxBytes} bytes`)).then((text) => settle({
        kind: 'answered', answer: { statusCode: response.statusCode!, headers: response.headers, body: text }
      }), fail)
    })
    request.end(body)
  })
