import type * as compares from './compare.ts'
import type * as measures from './measure.ts'

export interface AblationResult {
  choice: string
  scenario: string
  deployment: string
  variant: string
  figures: measures.Figures
}

/** Results of one run of the benchmark, recorded per commit in `history/`. */
export interface BenchmarkRecord {
  name: string
  comparisons: compares.Comparison[]
  ablations: AblationResult[]
}

const COLUMN_TITLES = ['deployment', 'scenario', 'policy', 'class 0 p50', 'class 0 p99', 'class 1 p99', 'class 2 p99',
  'other tasks/s', 'other p99', 'busy %', 'overhead', 'refused', 'failed']

const formatMs = (value: number): string => value === 0 ? '-' : value.toFixed(0)
const figureCells = (figures: measures.Figures): string[] => [
  formatMs(figures.classes[0]!.p50), formatMs(figures.classes[0]!.p99), formatMs(figures.classes[1]!.p99),
  formatMs(figures.classes[2]!.p99),
  figures.otherThroughput.toFixed(1), formatMs(figures.otherP99), (figures.busy * 100).toFixed(1),
  figures.overhead.toFixed(2), String(figures.outcomes.refused ?? 0), String(figures.outcomes.failed ?? 0)
]

/** Rows of the table: figures of each scenario for this version, the baselines and an older version. */
export const rows = (
  { comparisons }: BenchmarkRecord, older?: BenchmarkRecord
): string[][] => comparisons.flatMap((comparison) => {
  const { deployment, scenario, own, naive, ideal, without } = comparison
  const olderComparison = older?.comparisons.find((other) =>
    other.deployment === deployment && other.scenario === scenario)
  const policies: [string, measures.Figures | undefined][] = [
    ['this version', own], ['without flood', without], ['naive', naive], [`older ${older?.name}`, olderComparison?.own],
    ['ideal', ideal]
  ]
  return policies.flatMap(([name, figures]) => figures ? [[deployment, scenario, name, ...figureCells(figures)]] : [])
})

export const ablationRows = ({ ablations }: BenchmarkRecord): string[][] => ablations.map(
  ({ choice, scenario, deployment, variant, figures }) => [deployment, scenario, `${choice}: ${variant}`, ...figureCells(figures)])

export const table = (lines: string[][]): string => {
  const all = [COLUMN_TITLES, ...lines]
  const widths = COLUMN_TITLES.map((_, column) => Math.max(...all.map((line) => line[column]!.length)))
  return all.map((line) => line.map((cell, column) => cell.padEnd(widths[column]!)).join('  ')).join('\n')
}

const escape = (text: string): string => text.replace(/&/g, '&amp;').replace(/</g, '&lt;')
const html = (lines: string[][]): string => {
  const row = (cell: string, line: string[]): string =>
    `<tr>${line.map((text) => `<${cell}>${escape(text)}</${cell}>`).join('')}</tr>`
  return `<table>${row('th', COLUMN_TITLES)}${lines.map((line) => row('td', line)).join('\n')}</table>`
}

const BAR = { height: 14, gap: 4, label: 330, width: 520, maxValue: 4 }

/** Bar chart of a figure relative to a reference. A line marks 1, and bars are cut at `BAR.maxValue`. */
const plot = (title: string, bars: { name: string, value: number }[]): string => {
  const scale = BAR.width / BAR.maxValue
  const barElements = bars.map(({ name, value }, index) => {
    const y = index * (BAR.height + BAR.gap)
    const length = Math.min(value, BAR.maxValue) * scale
    return `<text x="0" y="${y + 11}">${escape(name)}</text>` +
      `<rect x="${BAR.label}" y="${y}" width="${length.toFixed(1)}" height="${BAR.height}"/>` +
      `<text x="${BAR.label + length + 4}" y="${y + 11}">${value.toFixed(2)}</text>`
  })
  const height = bars.length * (BAR.height + BAR.gap)
  const referenceX = BAR.label + scale
  return `<h2>${escape(title)}</h2><svg width="${BAR.label + BAR.width + 60}" height="${height}">` +
    `${barElements.join('')}<line x1="${referenceX}" x2="${referenceX}" y1="0" y2="${height}"/></svg>`
}

const STYLE = 'body{font:12px sans-serif}td,th{padding:1px 6px;text-align:right}td:nth-child(-n+3){text-align:left}' +
  'rect{fill:#b8860b}line{stroke:#333;stroke-dasharray:3}svg text{font:11px sans-serif}'

/** The HTML report. */
export const page = (record: BenchmarkRecord, older?: BenchmarkRecord): string => {
  const plots = [...new Set(record.comparisons.map(({ deployment }) => deployment))].flatMap((deployment) => {
    const ofDeployment = record.comparisons.filter((comparison) => comparison.deployment === deployment)
    const bars = (ratio: (comparison: compares.Comparison) => number): { name: string, value: number }[] =>
      ofDeployment.map((comparison) => ({ name: comparison.scenario, value: ratio(comparison) }))
        .filter(({ value }) => Number.isFinite(value))
    const reference = ({ without, ideal }: compares.Comparison): measures.Figures => without ?? ideal
    return [
      plot(`${deployment}: most urgent class, p50 over ideal or over the run without flood`,
        bars((each) => each.own.classes[0]!.p50 / reference(each).classes[0]!.p50)),
      plot(`${deployment}: p99 of work other than floods over ideal or over the run without flood`,
        bars((each) => each.own.otherP99 / reference(each).otherP99)),
      plot(`${deployment}: the same for the naive policy`,
        bars((each) => each.naive.otherP99 / reference(each).otherP99)),
      plot(`${deployment}: messages beyond two per task`, bars((each) => each.own.overhead))
    ]
  })
  return `<!doctype html><meta charset="utf-8"><title>mustarddeck benchmark</title><style>${STYLE}</style>` +
    `<h1>Benchmark ${escape(record.name)}</h1><p>Times in ms on the virtual clock.</p>${plots.join('\n')}` +
    `<h2>All figures</h2>${html(rows(record, older))}<h2>Ablations</h2>${html(ablationRows(record))}`
}
