import { expect } from 'chai'
import * as ids from './ids.ts'

describe('job ids', () => {
  it('keep every field when parsed and formatted', () => {
    for (const text of ['abcdefgh12.r17.4.12', 'abcdefgh12.u.1.0']) {
      const parsed = ids.parseJobId(text)
      expect(parsed && ids.formatJobId(parsed)).to.equal(text)
    }
  })

  // If the same id had a second spelling, one job could be started twice under two keys.
  it('are rejected if they are not in canonical form', () => {
    const spellings = ['abcdefgh12.r017.4.12', 'abcdefgh12.r1.04.1', 'abcdefgh12.r1.4.01', 'ABCDEFGH12.u.1.1',
      'abcdefgh12.u.0.1', 'abcdefgh12.u.1', ' abcdefgh12.u.1.1', 'abcdefgh12.u.1.1\n', '']
    for (const text of spellings) expect(ids.parseJobId(text), text).to.equal(undefined)
  })
})
