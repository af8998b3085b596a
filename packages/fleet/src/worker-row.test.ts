import { expect } from 'chai'
import * as workerRows from './worker-row.ts'

const NOW_MS = Date.parse('2026-12-05T08:00:00Z')
const WORKER = {
  id: 'i-1',
  bornMs: NOW_MS - 1000,
  service: 'corkbook',
  zone: 'khangai-a',
  capacity: { millicores: 16_000, memoryMb: 32_768, accelerators: 0 },
  labels: ['a', 'r1-3'],
  leaving: false
}
const nested = (depth: number): string => '['.repeat(depth) + ']'.repeat(depth)
const parse = (text: string) => workerRows.parse(text, NOW_MS)
const textOf = (changes: object): string => JSON.stringify({ ...WORKER, ...changes })

describe('the row of a worker', () => {
  it('is restored as it was stored', () => {
    expect(parse(JSON.stringify(WORKER))).to.deep.equal(WORKER)
  })

  // A worker with such a row was announced to entries, which ended the process or shut out the true worker.
  it('is not used if another writer has left something else', () => {
    const deep = textOf({}).replace('["a","r1-3"]', nested(20_000))
    const odd = [
      '', '{', 'null', '[]', '1', nested(20_000), deep, textOf({}).replace('16000', '1e400'),
      ...[{ id: '' }, { id: 1 }, { id: 'i\r\nX: y' }, { bornMs: -1 }, { bornMs: 1.5 }, { bornMs: 2 ** 60 },
        { bornMs: NOW_MS + 10 * 86_400_000 }, { bornMs: 'x' }, { service: undefined }, { zone: 1 }, { labels: [1] },
        { labels: 'a' }, { leaving: 0 }, { capacity: null }, { capacity: { ...WORKER.capacity, millicores: -1 } },
        { capacity: { ...WORKER.capacity, memoryMb: 1e300 } }, { capacity: { millicores: 1, memoryMb: 1 } }].map(textOf)
    ]
    for (const text of odd) expect(parse(text), text.slice(0, 100)).to.equal(undefined)
  })

  it('is restored without fields that a worker does not have', () => {
    const text = JSON.stringify(WORKER).replace('{', `{"extra":${nested(20_000)},`)
    expect(parse(text)).to.deep.equal(WORKER)
  })
})
