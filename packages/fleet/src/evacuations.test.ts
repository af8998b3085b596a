import * as logging from '@mustarddeck/log'
import { expect } from 'chai'
import * as evacuations from './evacuations.ts'

const setUp = () => {
  const lines: string[] = []
  const changes: evacuations.Evacuations[] = []
  const log = logging.create({ level: 'info', destination: { write: (line: string) => { lines.push(line) } } })
  const record = evacuations.create({ log, onChange: (changed) => changes.push(changed) })
  const all = (storeVersion: number, ...zones: string[]): boolean => record.read({ kind: 'all', zones }, storeVersion)
  /** Zones that are evacuated, or, with a leading minus, return to service. */
  const change = (storeVersion: number, ...texts: string[]): boolean => record.read({
    kind: 'changes',
    changes: texts.map((text) => ({ zone: text.replace('-', ''), evacuated: !text.startsWith('-') }))
  }, storeVersion)
  const peer = (storeVersion: number, ...zones: string[]): void => record.receive({ storeVersion, zones })
  return { all, change, changes, lines, peer, record, zones: () => record.current()?.zones }
}

describe('evacuations known to a process', () => {
  it('are unknown before the first read, and known when there are none', () => {
    const { all, change, record, changes } = setUp()
    expect(record.current()).to.equal(undefined)
    expect(change(3, 'a'), 'changes of an unknown set').to.equal(false)
    all(5)
    expect(record.current()).to.deep.equal({ storeVersion: 5, zones: [] })
    expect(changes).to.have.length(1)
  })

  it('follow the changes in the store, the last of a zone counting', () => {
    const { all, change, zones } = setUp()
    all(5, 'b')
    change(7, 'a', 'c')
    expect(zones()).to.deep.equal(['a', 'b', 'c'])
    change(9, '-a', 'b', 'c', '-c')
    expect(zones()).to.deep.equal(['b'])
  })

  // A peer that is late would keep a zone evacuated that has returned, or return one that was evacuated again.
  it('come from a peer only if it knows a higher version', () => {
    const { all, peer, record } = setUp()
    all(5, 'a')
    for (const version of [0, 4, 5]) peer(version, 'b')
    expect(record.current()).to.deep.equal({ storeVersion: 5, zones: ['a'] })
    peer(6)
    expect(record.current()).to.deep.equal({ storeVersion: 6, zones: [] })
  })

  it('are not replaced by an older answer of the store', () => {
    const { all, change, peer, zones } = setUp()
    all(5)
    peer(8, 'a')
    all(7)
    change(7, '-a')
    expect(zones()).to.deep.equal(['a'])
  })

  // The changes since the last read contain those that a peer has told already.
  it('follow the store after a newer set of a peer', () => {
    const { all, change, peer, record } = setUp()
    all(5, 'b')
    peer(8, 'a', 'b')
    change(9, 'a', '-b')
    expect(record.current()).to.deep.equal({ storeVersion: 9, zones: ['a'] })
  })

  it('advance their version without a notice when nothing has changed', () => {
    const { all, change, changes, peer, record } = setUp()
    all(5, 'a')
    change(6)
    change(7, 'a', '-c')
    all(8, 'a')
    peer(9, 'a')
    expect([record.current()?.storeVersion, changes.length]).to.deep.equal([9, 1])
  })

  it('are logged at each change', () => {
    const { all, change, lines, peer } = setUp()
    all(5)
    change(6, 'a', 'b')
    change(7)
    peer(8)
    const shown = lines.map((line) => /zones=(\S*) count=(\d) storeVersion=(\d) source=(\w+)/.exec(line)?.slice(1))
    expect(shown.map((fields) => fields?.join(' '))).to.deep.equal(['"" 0 5 store', 'a,b 2 6 store', '"" 0 8 peer'])
  })

  it('pass over names that no zone has, and keep the others', () => {
    const { all, change, lines, zones } = setUp()
    all(5, '', 'x'.repeat(1e6), 'a')
    change(6, 'y'.repeat(evacuations.MAX_ZONE_LENGTH + 1), 'b')
    expect(zones()).to.deep.equal(['a', 'b'])
    expect(lines.filter((line) => line.includes('evacuations-malformed'))).to.have.length(2)
  })

  // Thousands of odd rows must neither end a process nor hide the evacuation of a real zone.
  it('keep the shortest names of too many, and are read again as a whole at the next change', () => {
    const { all, change, lines, zones } = setUp()
    const odd = Array.from({ length: 5000 }, (_, index) => `odd-zone-${index}`)
    all(5, ...odd, 'a')
    expect(zones()).to.have.length(evacuations.MAX_ZONES)
    expect(zones()![0]).to.equal('a')
    expect(lines.filter((line) => line.includes('evacuations-left-out'))).to.have.length(1)
    expect(change(6), 'no change').to.equal(true)
    expect(change(7, `-${odd[0]}`), 'a change').to.equal(false)
    all(7, 'a', 'b')
    expect(change(8, '-a')).to.equal(true)
    expect(zones()).to.deep.equal(['b'])
  })
})
