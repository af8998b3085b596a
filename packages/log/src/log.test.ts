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

  // Otherwise everyone who can read logs could read the keys.
  it('redacts keys and tokens, by field name and by value', () => {
    const { lines, logger } = capture({ secrets: ['tsagaan-nuur-key'] })
    logger.with({ note: 'with tsagaan-nuur-key inside', password: 'fourth' }).info('settings', {
      key: 'first', token: 'second', authorization: 'Bearer third', url: 'http://x/?k=tsagaan-nuur-key'
    })
    expect(lines.join('')).not.to.match(/tsagaan-nuur-key|first|second|third|fourth/)
    expect(lines[0]).to.include('key=[redacted] token=[redacted] authorization=[redacted]')
  })

  // Otherwise a line feed in a caller's input could forge a log line.
  it('writes every event as one line that can be parsed', () => {
    fastCheck.assert(fastCheck.property(fastCheck.string({ unit: 'binary', maxLength: 50 }), (text) => {
      const { lines, logger } = capture()
      logger.warn('input', { text, end: 'end' })
      expect(lines[0]!.slice(0, -1)).not.to.match(/[\n\r\u2028\u2029]/)
      const parsed = logfmt.parse(lines[0]!.slice(0, -1))
      expect(parsed['event']).to.equal('input')
      expect(parsed['end']).to.equal('end')
    }), { seed: 1 })
  })

  describe('with a budget', () => {
    const setUp = (bounds: log.budget.Bounds) => {
      let now = 0
      const budget = log.budget.create(bounds, () => now)
      return { budget, ...capture({ budget }), pass: (ms: number) => { now += ms } }
    }
    const count = (lines: string[], event: string): number =>
      lines.filter((line) => logfmt.parse(line.trim())['event'] === event).length

    it('limits the lines per second, and reserves a share for warnings and errors', () => {
      const { budget, lines, logger, pass } = setUp({ linesPerS: 200, bytesPerS: 1e6 })
      for (let index = 0; index < 500; index++) logger.with({ index }).info('order')
      for (let index = 0; index < 500; index++) logger.warn('refusal')
      expect([lines.length, count(lines, 'order'), count(lines, 'refusal')]).to.deep.equal([200, 140, 60])
      pass(1000)
      logger.info('order')
      const summary = logfmt.parse(lines[200]!.trim())
      expect([summary['event'], summary['order'], summary['refusal']]).to.deep.equal(['lines-left-out', '360', '440'])
      expect([...budget.leftOut()]).to.deep.equal([['order', 360], ['refusal', 440]])
      expect([lines.length, count(lines, 'order')]).to.deep.equal([202, 141])
    })

    it('limits the bytes per second, so that long values cannot fill the log', () => {
      const { lines, logger } = setUp({ linesPerS: 1000, bytesPerS: 10_000 })
      for (let index = 0; index < 200; index++) logger.error('input', { text: 'x'.repeat(400) })
      expect(lines.join('').length).to.be.within(9000, 11_000)
    })
  })
})
