import http from 'node:http'
import net from 'node:net'

/** Serves JSON over HTTP. `respond` returns [status, body], or undefined to leave the request unanswered. */
export const serve = (host, port, respond) => new Promise((resolve, reject) => {
  const server = http.createServer((request, response) => {
    const chunks = []
    request.on('data', (chunk) => chunks.push(chunk))
    request.on('error', () => {})
    request.on('end', async () => {
      const text = Buffer.concat(chunks).toString()
      const url = new URL(request.url, 'http://stand-in')
      const body = text === '' ? undefined : JSON.parse(text)
      const reply = await respond({ method: request.method, url, headers: request.headers, body })
      if (!reply || response.destroyed) return
      const answer = JSON.stringify(reply[1])
      const headers = { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(answer) }
      response.writeHead(reply[0], headers).end(answer)
    })
  })
  server.keepAliveTimeout = 60_000
  server.once('error', reject)
  server.listen(port, host, () => resolve({
    stop: () => {
      server.close()
      server.closeAllConnections()
    }
  }))
})

/** Sends one request on a connection of its own. Resolves to the answer, or to one with status 0 if there is none. */
export const call = ({ host, port, method, path, headers = {}, body, timeoutMs }) => new Promise((resolve) => {
  const text = body === undefined ? undefined : JSON.stringify(body)
  const request = http.request({
    host,
    port,
    method,
    path,
    agent: false,
    headers: text === undefined ? headers : { 'Content-Type': 'application/json', ...headers }
  })
  const timer = setTimeout(() => {
    resolve({ status: 0, reason: `no answer in ${timeoutMs} ms` })
    request.destroy()
  }, timeoutMs)
  const finish = (answer) => {
    clearTimeout(timer)
    resolve(answer)
  }
  request.on('error', (cause) => finish({ status: 0, reason: cause.code ?? cause.message }))
  request.on('response', (response) => {
    let received = ''
    response.on('data', (chunk) => { received += chunk })
    response.on('error', (cause) => finish({ status: 0, reason: cause.message }))
    response.on('end', () => finish({ status: response.statusCode, body: parse(received) }))
  })
  request.end(text)
})

const parse = (text) => {
  try {
    return JSON.parse(text)
  } catch {
    return text
  }
}

const isFree = (host, port) => new Promise((resolve) => {
  const server = net.createServer()
  server.once('error', () => resolve(false))
  server.listen(port, host, () => server.close(() => resolve(true)))
})

/** Finds `count` ports that are free on all hosts. */
export const freePorts = async (hosts, count) => {
  const ports = []
  for (let port = 20_000 + Math.floor(Math.random() * 9000); ports.length < count; port++) {
    const free = await Promise.all(hosts.map((host) => isFree(host, port)))
    if (free.every(Boolean)) ports.push(port)
  }
  return ports
}
