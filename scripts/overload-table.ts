import * as process from 'node:process'
import * as admission from '../packages/job-dispatcher/src/admission.ts'
import * as rules from '../packages/job-dispatcher/src/rules.ts'
import * as overload from '../packages/job-dispatcher/src/testing/overload.ts'
import * as presentAdmission from '../packages/job-dispatcher/src/testing/present-admission.ts'

// Prints the table of docs/design/admission.md: node --import tsx scripts/overload-table.ts [CALLER_TIMEOUT_MS] [SEEDS]
const callerTimeoutMs = Number(process.argv[2] ?? 1500)
const seeds = Array.from({ length: Number(process.argv[3] ?? 8) }, (_, index) => index + 1)

const withRules = (changes: Partial<rules.Rules>): Partial<overload.Options> =>
  ({ dispatcher: { admission: (view) => admission.create(view, { ...rules.DEFAULT, ...changes }) } })
const POLICIES: Record<string, Partial<overload.Options>> = {
  before: { dispatcher: { admission: presentAdmission.create } },
  'first in, first out': {
    dispatcher: { admission: presentAdmission.create },
    queueOf: (queue) => ({ ...queue, priority: 0, stretch: 1, objectiveMs: 1000 })
  },
  new: {},
  'without all-or-nothing': withRules({ allOrNothing: false }),
  'without headroom': withRules({ headroom: 0 }),
  'without late jobs': withRules({ servesLate: false }),
  'without size floor': withRules({ sizeFloor: 0 }),
  'without queue floor': withRules({ queueFloor: 0 }),
  'without reassessment': withRules({ reviews: false })
}

const add = (left: overload.Counts, right: overload.Counts): overload.Counts => ({
  jobs: left.jobs + right.jobs,
  inTime: left.inTime + right.inTime,
  late: left.late + right.late,
  refused: left.refused + right.refused
})
const share = (part: number, { jobs }: overload.Counts): string => (part / jobs).toFixed(2)
const shares = (counts: overload.Counts): string =>
  [counts.inTime, counts.late, counts.refused].map((part) => share(part, counts)).join(' ')
const served = (counts: overload.Counts): string => share(counts.inTime + counts.late, counts)

const rowOf = (results: overload.Result[]): string[] => {
  const sum = (pick: (result: overload.Result) => overload.Counts): overload.Counts => results.map(pick).reduce(add)
  const mean = (pick: (result: overload.Result) => number): string =>
    (results.reduce((total, result) => total + pick(result), 0) / results.length).toFixed(3)
  const queues = [0, 1, 2]
  return [
    mean(({ score }) => score),
    shares(sum(({ all }) => all)),
    ...queues.map((priority) => shares(sum((result) => result.queues[priority]!))),
    ...queues.map((priority) =>
      `${served(sum(({ largest }) => largest[priority]!))} ${served(sum(({ large }) => large[priority]!))}`),
    mean(({ worstWindow }) => worstWindow)
  ]
}

const print = (cells: string[]): boolean => process.stdout.write(`| ${cells.join(' | ')} |\n`)
print(['policy', 'score', 'all', 'queue 0', 'queue 1', 'queue 2', 'sizes 0', 'sizes 1', 'sizes 2', 'worst window'])
print(Array<string>(10).fill('---'))
for (const scenario of overload.SCENARIOS) {
  print([`**${scenario.name}**`, ...Array<string>(9).fill('')])
  for (const [name, options] of Object.entries(POLICIES)) {
    print([name, ...rowOf(seeds.map((seed) => overload.replay({ ...options, scenario, seed, callerTimeoutMs })))])
  }
}
