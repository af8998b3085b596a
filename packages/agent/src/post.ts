import * as http from 'node:http'

export interface Response {
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
  /** Timeout of the whole request in ms. */
  limitMs: number
  /** Timeout for establishing the connection in ms. */
  connectMs: number
  /** Maximum size of the response body in bytes. */
  maxBytes: number
}

/** Why the client aborted the request; unset if the connection failed or could not be established in time. */
export type AbortReason = 'time-limit' | 'too-large'

export type Outcome =
  | { kind: 'answered', answer: Response }
  /** `connected`: a connection was established, so the server may have received the request. */
  | { kind: 'failed', connected: boolean, abortReason?: AbortReason, message: string }

const collect = (response: http.IncomingMessage, maxBytes: number, onTooLarge: () => void): Promise<string> =>
  new Promise((resolve, reject) => {
    const parts: Buffer[] = []
    let bytes = 0
    response.on('data', (part: Buffer) => {
      bytes += part.length
      if (bytes > maxBytes) onTooLarge()
      else parts.push(part)
    })
    response.once('end', () => resolve(Buffer.concat(parts).toString()))
    response.once('error', reject)
    response.once('close', () => reject(new Error('the connection was closed before the end of the answer')))
  })

/** Sends one POST request through the HTTP agent. Never rejects and never retries. */
export const post = ({ url, agent, headers, body, signal, limitMs, connectMs, maxBytes }: Request): Promise<Outcome> =>
  new Promise((resolve) => {
    let connected = false
    let abortReason: AbortReason | undefined
    const request = http.request(url, {
      agent, method: 'POST', signal, headers: { ...headers, 'content-length': Buffer.byteLength(body) }
    })
    const abort = (reason: AbortReason | undefined, message: string): void => {
      abortReason ??= reason
      request.destroy(new Error(message))
    }
    const requestTimer = setTimeout(() => abort('time-limit', `no answer within ${limitMs} ms`), limitMs)
    const connectTimer = setTimeout(() => abort(undefined, `no connection within ${connectMs} ms`), connectMs)
    const complete = (outcome: Outcome): void => {
      clearTimeout(requestTimer)
      clearTimeout(connectTimer)
      resolve(outcome)
    }
    const fail = (error: Error): void => complete({ kind: 'failed', connected, abortReason, message: error.message })
    const onConnected = (): void => {
      connected = true
      clearTimeout(connectTimer)
    }
    request.once('socket', (socket) => {
      if (socket.connecting) socket.once('connect', onConnected)
      else onConnected()
    })
    request.on('error', fail)
    request.once('response', (response) => {
      collect(response, maxBytes, () => abort('too-large', `answer above ${maxBytes} bytes`)).then((text) => complete({
        kind: 'answered', answer: { statusCode: response.statusCode!, headers: response.headers, body: text }
      }), fail)
    })
    request.end(body)
  })
