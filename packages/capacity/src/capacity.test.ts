import { expect } from 'chai'
import * as fits from './fit.ts'
import * as measure from './measure.ts'
import * as measurements from './measurements.ts'
import * as plot from './plot.ts'
import * as series from './series.ts'
import { regionAgents, target } from './targets.ts'

/** Ends a run that hangs; the measurements take 55 s of processor time, also beside other busy processes. */
const LIMIT_MS = 180_000
/** Largest growth of a figure that is to stay in proportion; quadratic growth has exponent 2. */
const PROPORTIONAL = 1.6
/** Least share of the variance that the line explains, for figures that are counted and not timed. */
const LINEAR = 0.99

describe('fit', () => {
  it('finds the line, and tells proportional from quadratic growth', () => {
    const sizes = [1, 2, 4, 8]
    expect(fits.line(sizes.map((x) => ({ x, y: 3 + 2 * x })))).to.include({ slope: 2, intercept: 3, r2: 1 })
    expect(fits.line(sizes.map((x) => ({ x, y: 5 * x ** 2 }))).exponent).to.be.closeTo(2, 1e-9)
    expect(fits.line(sizes.map((x) => ({ x, y: 7 })))).to.include({ slope: 0, r2: 1, exponent: 0 })
  })
})

describe('heap of a result', () => {
  it('counts whole although earlier results are released late', () => {
    const entries = 50_000
    let latest: number[][] = []
    const bytes = measure.heapBytes(() => {
      // Releases the result of the run before only now, as a compilation in the background does.
      latest = Array.from({ length: entries }, (_, index) => [index])
      return latest
    })
    expect(latest).to.have.length(entries)
    expect(bytes).to.be.greaterThan(entries * Uint32Array.BYTES_PER_ELEMENT)
  })
})

describe('capacity at small sizes', () => {
  let all: Map<string, series.Fitted>
  const of = (id: string): series.Fitted => all.get(id)!

  before(async function () {
    this.timeout(LIMIT_MS)
    const results = await measurements.run(measurements.QUICK)
    all = new Map(results.map((result) => [result.id, series.fitted(result)]))
  })

  // A cost per task that grows with the fleet would make the target unreachable with any number of entries.
  it('leaves an entry core the target of task starts, whatever the size of the fleet', () => {
    const perTaskUs = fits.at(of('entry-task').fit, regionAgents)
    expect(perTaskUs).to.be.lessThan(1e6 / target.startsPerCoreSecond)
  })

  it('keeps what is counted on a line', () => {
    const counted = ['ledger-task-accounted', 'journal-task-accounted', 'membership-rows', 'fence-bytes', 'fence-time']
    for (const id of counted) expect(of(id).fit.r2, id).to.be.at.least(LINEAR)
  })

  // State that grows faster than the number of its objects cannot be sized.
  it('keeps state in proportion to jobs, tasks and members', () => {
    for (const id of ['ledger-job', 'ledger-task', 'journal-task', 'membership-rows']) {
      expect(of(id).fit.exponent, id).to.be.lessThan(PROPORTIONAL)
    }
  })

  it('recovers the jobs of a dead entry in a region of target size in time', () => {
    const waitMs = fits.at(of('recovery-virtual').fit, regionAgents)
    const busyMs = fits.at(of('recovery-agents').fit, regionAgents)
    expect(waitMs + busyMs).to.be.lessThan(target.recoveryMs)
  })

  it('draws every series', () => {
    for (const result of all.values()) {
      const drawing = plot.draw(result)
      expect(drawing.match(/<circle/g), result.id).to.have.length(result.points.length)
      expect(drawing).to.not.include('NaN')
    }
  })
})
