import { expect } from 'chai'
import * as fastCheck from 'fast-check'
import logfmt from 'logfmt'
import * as log from './index.ts'

const capture = (settings: Partial<log.Settings> = {}) => {
  const lines: string[] = []
  const logger = log.create({ level: 'info', destination: { write: (line) => { lines.push(line) } }, ...settings })
  return { lines, logger }
}

describe('log', () => {
  it('writes one logfmt line per event with the fields of its context', () => {
    const { lines, logger } = capture({ fields: { role: 'agent' } })
    logger.with({ worker: 'waco-1' }).info('task-started', { job: 'a.r0.1.2', index: 0, reason: 'least loaded' })
    logger.debug('hidden')
    expect(lines).to.have.length(1)
    expect(lines[0]).to.match(/^level=info time=\S+Z role=agent worker=waco-1 event=task-started /)
    expect(lines[0]).to.match(/ job=a\.r0\.1\.2 index=0 reason="least loaded"\n$/)
  })

  // A key in a log line is readable for everyone who reads logs.
  it('writes no key and no token, by name of the field or by value', () => {
    const { lines, logger } = capture({ secrets: ['tsagaan-nuur-key'] })
    logger.with({ note: 'with tsagaan-nuur-key inside', password: 'fourth' }).info('settings', {
      key: 'first', token: 'second', authorization: 'Bearer third', url: 'http://x/?k=tsagaan-nuur-key'
    })
    expect(lines.join('')).not.to.match(/tsagaan-nuur-key|first|second|third|fourth/)
    expect(lines[0]).to.include('key=[redacted] token=[redacted] authorization=[redacted]')
  })

  // A caller's input with a line feed could otherwise forge a line of its own.
  it('keeps every event on one line that parses again', () => {
    fastCheck.assert(fastCheck.property(fastCheck.string({ unit: 'binary', maxLength: 50 }), (text) => {
      const { lines, logger } = capture()
      logger.warn('input', { text, end: 'end' })
      expect(lines[0]!.slice(0, -1)).not.to.match(/[\n\r\u2028\u2029]/)
      const parsed = logfmt.parse(lines[0]!.slice(0, -1))
      expect(parsed['event']).to.equal('input')
      expect(parsed['end']).to.equal('end')
    }), { seed: 1 })
  })
})
