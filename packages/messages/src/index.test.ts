import { expect } from 'chai'
import * as messages from './index.ts'

describe('messages', () => {
  it('accepts a message that matches the schema of its kind', () => {
    expect(messages.parse({ kind: 'grant', slots: 3 })).to.deep.equal({ kind: 'grant', slots: 3 })
  })

  // An unvalidated frame could reach code that relies on the declared types.
  it('rejects values that match no schema', () => {
    const values: unknown[] = [
      undefined, null, 7, 'grant', [], {}, { kind: 'grant' }, { kind: 'grant', slots: -1 }, { kind: 'constructor' },
      { kind: 'grant', slots: 1.5 }, { kind: ['grant'], slots: 1 },
      { kind: 'cancel-tasks', job: 'j', indexes: [260] }, { kind: 'finished', job: 'j', index: 0, attempt: 0 }
    ]
    for (const value of values) expect(messages.parse(value), JSON.stringify(value)).to.equal(undefined)
  })
})
