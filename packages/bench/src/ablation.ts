import type * as placements from '@mustarddeck/placement'
import type * as workload from './workload.ts'

/** A policy choice and the variants that the report compares; the first variant is the one in use. */
export interface Ablation {
  choice: string
  scenarios: string[]
  variants: { name: string, policy: Partial<placements.Policy>, ruleChange?: workload.RuleChange }[]
}

export const ABLATIONS: Ablation[] = [
  {
    choice: 'order within a type',
    scenarios: ['steady 80%', 'steady 95%'],
    variants: [
      { name: 'in use', policy: {} },
      { name: 'order of arrival', policy: { remainingWorkWeight: 0 } },
      { name: 'weak', policy: { remainingWorkWeight: 0.1 } },
      { name: 'nearly without ageing', policy: { remainingWorkWeight: 30 } }
    ]
  },
  {
    choice: 'reserve',
    scenarios: ['steady 80%', 'flood of least urgent'],
    variants: [
      { name: 'in use', policy: {} },
      { name: 'without', policy: { reserves: false } },
      { name: 'shrinks late', policy: { reserveWaitRatio: 2 } },
      { name: '5% of slots', policy: {}, ruleChange: { reserve: [0.05, 0, 0] } },
      { name: '17% of slots', policy: {}, ruleChange: { reserve: [0.17, 0, 0] } }
    ]
  },
  {
    choice: 'flood control',
    scenarios: ['flood of most urgent', 'flood of one type of a class', 'flood of least urgent'],
    variants: [{ name: 'in use', policy: {} }, { name: 'without', policy: { floodControl: false } }]
  },
  {
    choice: 'learning rate of run times',
    scenarios: ['steady 80%', 'all backlogged, weighted'],
    variants: [
      { name: 'in use', policy: {} },
      { name: '0.005', policy: { learningRate: 0.005 } },
      { name: '0.5', policy: { learningRate: 0.5 } }
    ]
  },
  {
    choice: 'worker health',
    scenarios: ['worker fails everything', 'worker 5 times slow', 'steady 80%'],
    variants: [{ name: 'in use', policy: {} }, { name: 'without', policy: { health: false } }]
  },
  {
    choice: 'wait above which slots are requested',
    scenarios: ['steady 80%', 'jobs of 260 tasks'],
    variants: [
      { name: 'in use', policy: {} },
      { name: '0.1 of the target', policy: { reportWaitRatio: 0.1 } },
      { name: '3 times the target', policy: { reportWaitRatio: 3 } }
    ]
  }
]
