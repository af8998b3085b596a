import { expect } from 'chai'
import * as compares from './compare.ts'
import * as scenarios from './scenarios.ts'
import * as workload from './workload.ts'

/** Limits of section 5 of the design page. */
const TARGETS = {
  p50OverIdeal: 1.05,
  p99OverIdeal: 1.3,
  overhead: 0.2,
  throughputOverNoFlood: 0.98,
  p99OverNoFlood: 1.25,
  busy: 0.97,
  failedTasksPerSlot: 2,
  shareDeviation: 0.03
}
const SEED = 7
const DURATION_MS = 310_000

const findScenario = (name: string): scenarios.Scenario =>
  scenarios.all(DURATION_MS).find((each) => each.name === name)!

for (const deployment of workload.DEPLOYMENTS) {
  describe(`targets of placement, ${deployment.name}, seed ${SEED}`, () => {
    const options = { deployment, seed: SEED }

    describe('80% load', () => {
      let result: compares.Comparison
      before(() => { result = compares.compare(findScenario('steady 80%'), options) })

      it('p50 of the most urgent class over ideal', () => {
        expect(result.own.classes[0]!.p50 / result.ideal.classes[0]!.p50).to.be.at.most(TARGETS.p50OverIdeal)
      })
      it('p99 of the most urgent class over ideal', () => {
        expect(result.own.classes[0]!.p99 / result.ideal.classes[0]!.p99).to.be.at.most(TARGETS.p99OverIdeal)
      })
      it('overhead messages per task', () => {
        expect(result.own.overhead).to.be.at.most(TARGETS.overhead)
      })
    })

    for (const scenario of scenarios.all(DURATION_MS).filter(({ extraStreams }) => extraStreams)) {
      it(`${scenario.name}: other work keeps its throughput and response time, and slots stay busy`, () => {
        const own = compares.ownFigures(scenario, options)
        const without = compares.ownFigures(scenario, options, { withoutFlood: true })
        expect(own.otherThroughput / without.otherThroughput, 'throughput').to.be.at.least(TARGETS.throughputOverNoFlood)
        expect(own.otherP99 / without.otherP99, 'p99').to.be.at.most(TARGETS.p99OverNoFlood)
        expect(own.busy, 'busy').to.be.at.least(TARGETS.busy)
        expect(own.rejected['no-slot'] ?? 0, 'dispatches without a slot').to.equal(0)
      })
    }

    for (const name of ['steady 50%', 'steady 80%', 'steady 95%', 'many small jobs', 'jobs of 260 tasks']) {
      it(`${name}: no dispatch without a slot, no urgent refusal while less urgent work runs`, () => {
        const own = compares.ownFigures(findScenario(name), options)
        expect(own.started).to.be.greaterThan(0)
        expect(own.rejected['no-slot'] ?? 0).to.equal(0)
        expect(own.urgentRefusedWhileLessUrgentRan).to.equal(0)
      })
    }

    it('a worker that fails all tasks leaves rotation early and returns when it has recovered', () => {
      const own = compares.ownFigures(findScenario('worker fails everything'), options)
      expect(own.decisions['worker-out'], 'entries that stopped using it').to.be.at.least(deployment.entries)
      expect(own.failedBeforeOut).to.be.at.most(TARGETS.failedTasksPerSlot * deployment.slots)
      expect(own.decisions['worker-back'], 'entries that resumed using it').to.be.at.least(deployment.entries)
    })

    it('jobs that can never run are refused at once, and only they', () => {
      const own = compares.ownFigures(findScenario('never-runnable jobs mixed in'), options)
      expect(own.refusals['never-runnable'] ?? own.refusals['flood never-runnable']).to.be.greaterThan(0)
      expect(own.refusals['never-runnable'] ?? 0).to.equal(0)
    })

    it('a team quota holds across entries', () => {
      const scenario = findScenario('team quota')
      const own = compares.ownFigures(scenario, options)
      expect(own.mostRunning.floor).to.be.within(1, scenario.ruleChange!.quotas!.floor!)
    })

    it('backlogged types and teams are served by weight', () => {
      const scenario = findScenario('all backlogged, weighted')
      const { served } = compares.ownFigures(scenario, options)
      const weights = scenario.ruleChange!.weights!
      const pickWeights = (kind: string, names: string[]): Record<string, number> =>
        Object.fromEntries(names.map((name) => [`${kind} ${name}`, weights[name]!]))
      expect(compares.shareDeviation(served, pickWeights('type', ['booking', 'route-check'])), 'types')
        .to.be.at.most(TARGETS.shareDeviation)
      expect(compares.shareDeviation(served, pickWeights('team', workload.TEAMS)), 'teams')
        .to.be.at.most(TARGETS.shareDeviation)
    })
  })
}
