import * as fs from 'node:fs'
import { expect } from 'chai'
import fc from 'fast-check'
import * as toml from 'smol-toml'
import * as declarations from './index.ts'
import * as reference from './reference.ts'

const SEED = 3
const ROOT = new URL('../../../', import.meta.url)

const VALID_SET = `
[failure-domain.north]
region = "khangai"
workers = 2
slotsPerWorker = 8
coresPerWorker = 16
memoryMbPerWorker = 32000
[drain-policy.quick]
timeLimitMs = 5000
[service.depot]
drainPolicy = "quick"
failureDomains = ["north"]
[priority-class.counter]
rank = 0
targetWaitMs = 200
reserve = 0.1
[priority-class.overnight]
rank = 1
targetWaitMs = 60000
[task-type.weigh-in]
service = "depot"
priorityClass = "counter"
timeLimitMs = 2000
[team.depots]
maxRunning = 16
`

/** Formats the problems of the valid set after replacing `from` by `to`, without file names. */
const problemsOf = (from: string, to: string): string[] => {
  expect(VALID_SET).to.include(from)
  const result = declarations.parse([{ file: 'a.toml', text: VALID_SET.replace(from, to) }])
  return result.kind === 'ok' ? [] : result.error.map(({ file, ...problem }) => declarations.formatProblem(problem))
}
const parse = (text: string): declarations.Declarations => {
  const result = declarations.parse([{ file: 'a.toml', text }])
  if (result.kind === 'error') throw new Error(result.error.map(declarations.formatProblem).join('\n'))
  return result.value
}

describe('declarations', () => {
  it('accepts the sets of both deployments, with their sizes', async () => {
    for (const name of ['corkbook', 'benchdesk']) {
      const result = await declarations.load(new URL(`examples/${name}`, ROOT).pathname)
      if (result.kind === 'error') throw new Error(result.error.map(declarations.formatProblem).join('\n'))
      const domains = declarations.resolved(result.value, 'failure-domain').map(({ fields }) => fields)
      expect(domains.reduce((sum, { workers }) => sum + workers, 0)).to.equal(11)
      expect(domains.every((one) => one.slotsPerWorker === 8 && one.workersPerRack === 3)).to.equal(true)
    }
  })

  const cases: [what: string, from: string, to: string, problems: string[]][] = [
    ['an unknown field', 'timeLimitMs = 2000', 'timeLimitMs = 2000\ntimeLimit = 1',
      ['task-type/weigh-in timeLimit: unknown field; did you mean timeLimitMs?']],
    ['a missing field', 'timeLimitMs = 2000', '',
      ['task-type/weigh-in timeLimitMs: missing field; expected integer, at least 1 and at most 600000']],
    ['a wrong type', 'timeLimitMs = 2000', 'timeLimitMs = "2 s"',
      ['task-type/weigh-in timeLimitMs: "2 s" given; expected integer, at least 1 and at most 600000']],
    ['a value out of range', 'reserve = 0.1', 'reserve = 1.5',
      ['priority-class/counter reserve: 1.5 given; expected number, at least 0 and at most 1']],
    ['an unknown kind', '[team.depots]', '[teem.depots]', ['teem: unknown kind of object; did you mean team?']],
    ['an object without a name', '[team.depots]', '[team]', ['team/maxRunning: expected a table [team.maxRunning]']],
    ['a name with other characters', '[team.depots]', '[team."De pots"]',
      ['team/De pots: a name consists of up to 63 lower-case letters, digits and hyphens']],
    ['a dangling reference', 'service = "depot"', 'service = "depott"',
      ['task-type/weigh-in service: no service has the name "depott"; did you mean depot?']],
    ['a dangling reference in a list', '["north"]', '["north", "south"]',
      ['service/depot failureDomains: no failure-domain has the name "south"; did you mean north?']],
    ['a circular reference', '[team.depots]', '[team.a]\nextends = "b"\n[team.b]\nextends = "c"\n[team.c]\nextends = "b"\n[team.depots]',
      ['team/b extends: circular reference: b extends c extends b']],
    ['a time limit above that of the drain policy', 'timeLimitMs = 2000', 'timeLimitMs = 6000',
      ['task-type/weigh-in timeLimitMs: 6000 ms is above the 5000 ms of drain-policy/quick of service/depot']],
    ['a quota above the slots of the fleet', 'maxRunning = 16', 'maxRunning = 17',
      ['team/depots maxRunning: 17 is above the 16 slots of the fleet']],
    ['a class with no reserve', 'reserve = 0.1', '',
      ['priority-class/counter reserve: a class more urgent than priority-class/overnight needs a reserve above 0']],
    ['two classes of one rank', 'rank = 1', 'rank = 0\nreserve = 0.1',
      ['priority-class/counter rank: 0 is also the rank of priority-class/overnight']],
    ['reserves that leave no slot', 'reserve = 0.1', 'reserve = 1', ['priority-class/counter reserve: ' +
      'the reserves of all classes add up to 1 and leave no slot for other work']],
    ['a type that can never run', 'timeLimitMs = 2000', 'timeLimitMs = 2000\nmemoryMb = 32001',
      ['task-type/weigh-in memoryMb: more than any worker of service/depot has']],
    ['fewer connections than slots', 'drainPolicy = "quick"', 'drainPolicy = "quick"\nconnectionsPerWorker = 7',
      ['service/depot connectionsPerWorker: 7 is below the 8 slots per worker of failure-domain/north']]
  ]
  for (const [what, from, to, problems] of cases) {
    it(`reports ${what}`, () => expect(problemsOf(from, to)).to.deep.equal(problems))
  }

  it('reports all problems of all files at once, with line and column for syntax', () => {
    const result = declarations.parse([
      { file: 'a.toml', text: VALID_SET.replace('timeLimitMs = 2000', 'timeLimitMs = 6000') },
      { file: 'b.toml', text: '[team.depots]\nweight = 0\n[team.other]\nweight = 0' },
      { file: 'c.toml', text: '[team.x]\nweight =\n' }
    ])
    expect(result.kind === 'error' && result.error.map(declarations.formatProblem)).to.deep.equal([
      'b.toml: team/depots: duplicate; also declared in a.toml',
      'c.toml:2:9: syntax error: invalid value',
      'b.toml: team/other weight: 0 given; expected number, above 0 and at most 1000',
      'a.toml: task-type/weigh-in timeLimitMs: 6000 ms is above the 5000 ms of drain-policy/quick of service/depot'
    ])
  })

  it('includes inherited fields and defaults in the rules', () => {
    const set = parse(VALID_SET + '[task-type.payout]\nextends = "weigh-in"\ndescription = "x"\nmemoryMb = 7\n')
    const rules = declarations.toRules(set, 9)
    expect(rules.version).to.equal(9)
    expect(rules.taskTypes[0]).to.deep.equal({
      name: 'payout',
      service: 'depot',
      priorityClass: 'counter',
      timeLimitMs: 2000,
      resources: { cores: 1, memoryMb: 7, accelerators: 0 },
      weight: 1
    })
    expect(rules.priorityClasses.map(({ name }) => name)).to.deep.equal(['counter', 'overnight'])
    expect(rules.teams).to.deep.equal([{ name: 'depots', weight: 1, maxRunning: 16 }])
  })

  it('restores a serialized set, whose digest does not depend on the order of objects and fields', () => {
    const set = parse(VALID_SET)
    const content = declarations.serialize(set)
    const read = declarations.deserialize(content)
    expect(read.kind === 'ok' && declarations.difference(set, read.value)).to.deep.equal([])
    const reversed = new Map([...set].reverse().map(([key, { fields, ...rest }]) =>
      [key, { ...rest, fields: Object.fromEntries(Object.entries(fields).reverse()) }]))
    expect(declarations.digest(declarations.serialize(reversed))).to.equal(declarations.digest(content))
  })

  // A process must keep its current version instead of applying one that it cannot interpret.
  it('refuses published content that is not a valid set', () => {
    const contents = ['', 'null', '{}', '{"format":2,"objects":{}}', '{"format":1,"objects":{}}',
      '{"format":1,"objects":{"team":{}}}', '{"format":1,"objects":{"team/a":[]}}',
      '{"format":1,"objects":{"team/a/b":{}}}', '{"format":1,"objects":{"__proto__/a":{}}}', '{"format":1,"objects":{"team/a":{"wait":1}}}']
    for (const content of contents) expect(declarations.deserialize(content).kind, content).to.equal('error')
  })

  // Any content of the files must lead to a list of problems, never to an exception.
  it(`accepts or reports any value in any position (seed ${SEED})`, () => {
    const kinds = [...declarations.kindNames, 'teem']
    const fields = declarations.kindNames.flatMap((kind) => Object.keys(declarations.kinds[kind].properties))
    const leaf = fc.oneof(
      fc.integer(), fc.double({ noNaN: true }), fc.string(), fc.boolean(), fc.date({ noInvalidDate: true }),
      fc.constantFrom('a', 'b'), fc.array(fc.constantFrom('a', 'b')), fc.constant({}))
    const object = fc.dictionary(fc.constantFrom(...fields), leaf)
    const named = fc.dictionary(fc.constantFrom('a', 'b', 'c d', '__proto__'), fc.oneof(object, leaf))
    const teams = fc.dictionary(fc.constantFrom('a', 'b'), fc.record({
      weight: fc.integer({ min: 1, max: 9 }), extends: fc.constantFrom('a', 'b')
    }, { requiredKeys: [] }))
    const file = fc.oneof(fc.dictionary(fc.constantFrom(...kinds), fc.oneof(named, leaf)), fc.record({ team: teams }))
    let accepted = 0
    fc.assert(fc.property(file, (tables) => {
      const text = toml.stringify(tables)
      const result = declarations.parse([{ file: 'a.toml', text }])
      if (result.kind === 'error') {
        expect(result.error.length).to.be.greaterThan(0)
        result.error.map(declarations.formatProblem)
        return
      }
      accepted += 1
      expect(declarations.deserialize(declarations.serialize(result.value)).kind).to.equal('ok')
      declarations.toRules(result.value, 1)
    }), { numRuns: 2000, seed: SEED })
    expect(accepted).to.be.greaterThan(100)
  })

  it('has an up-to-date reference page', () => {
    const page = fs.readFileSync(new URL('docs/configuration-reference.md', ROOT), 'utf8')
    expect(page, 'run: npm run reference -w @mustarddeck/declarations').to.equal(reference.render())
  })
})

describe('difference and merge', () => {
  const base = parse(VALID_SET)
  const changed = (from: string, to: string) => parse(VALID_SET.replace(from, to))

  it('lists changed fields by object', () => {
    const after = changed('maxRunning = 16', 'maxRunning = 8\n[team.new]')
    expect(declarations.difference(base, after).flatMap(declarations.formatChange))
      .to.deep.equal(['~ team/depots', '    maxRunning: 16 -> 8', '+ team/new'])
    expect(declarations.difference(after, base).flatMap(declarations.formatChange))
      .to.deep.equal(['~ team/depots', '    maxRunning: 8 -> 16', '- team/new'])
  })

  it('merges changes to different objects, and equal changes to one', () => {
    const ours = changed('maxRunning = 16', 'maxRunning = 8\n[team.new]')
    const theirs = changed('timeLimitMs = 2000', 'timeLimitMs = 1000\n[team.new]')
    const merged = declarations.merge(base, ours, theirs)
    expect(merged.kind === 'ok' && declarations.difference(base, merged.value).map(({ kind, object }) => [kind, object]))
      .to.deep.equal([['changed', 'task-type/weigh-in'], ['changed', 'team/depots'], ['added', 'team/new']])
  })

  it('names objects that both sides changed in different ways, removal included', () => {
    const ours = changed('maxRunning = 16', 'maxRunning = 8\n[team.new]\nweight = 2')
    const theirs = changed('[team.depots]\nmaxRunning = 16', '[team.new]')
    expect(declarations.merge(base, ours, theirs)).to.deep.equal({ kind: 'error', error: ['team/depots', 'team/new'] })
  })
})
