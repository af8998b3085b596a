import type * as random from '@mustarddeck/random'
import type * as settings from '@mustarddeck/settings'
import * as typebox from '@sinclair/typebox'
import * as compiler from '@sinclair/typebox/compiler'

const { Type } = typebox

/**
 * Fault of one task. `fail`: status 500 after the run time; `hang`: no response; `slow`: a longer run time; `refuse`:
 * status 503 as not started; `close`: the connection is closed without a response after the run time.
 */
export const Fault = Type.Union([
  Type.Literal('none'), Type.Literal('fail'), Type.Literal('hang'), Type.Literal('slow'), Type.Literal('refuse'),
  Type.Literal('close')
])
export type Fault = typebox.Static<typeof Fault>

export type Behaviour = Pick<settings.BackendStandIn, 'run' | 'faults'>

const Share = Type.Number({ minimum: 0, maximum: 1 })

/** Change to the behaviour of a running stand-in. Absent fields are left unchanged. */
export const Change = Type.Object({
  run: Type.Optional(Type.Partial(Type.Object({
    runMs: Type.Number({ minimum: 0 }),
    distribution: Type.Union([Type.Literal('fixed'), Type.Literal('exponential')])
  }, { additionalProperties: false }))),
  faults: Type.Optional(Type.Partial(Type.Object({
    fail: Share, hang: Share, slow: Share, refuse: Share, close: Share, slowFactor: Type.Number({ minimum: 1 })
  }, { additionalProperties: false })))
}, { additionalProperties: false })
export type Change = typebox.Static<typeof Change>

export const isChange = compiler.TypeCompiler.Compile(Change)

/** Options in a task's payload: its run time, its fault, and a token by which its starts are counted. */
const TaskOptions = Type.Object({
  runMs: Type.Optional(Type.Number({ minimum: 0 })), fault: Type.Optional(Fault), token: Type.Optional(Type.String())
})
const isTaskOptions = compiler.TypeCompiler.Compile(TaskOptions)

export interface Plan {
  fault: Fault
  runMs: number
  token: string | undefined
}

const RANDOM_FAULTS = ['fail', 'hang', 'slow', 'refuse', 'close'] as const

/** Draws the fault of a task with a single random number, so that the shares are exclusive and add up. */
const drawFault = (faults: Behaviour['faults'], generator: random.Random): Fault => {
  let remaining = generator.float()
  for (const fault of RANDOM_FAULTS) {
    remaining -= faults[fault]
    if (remaining < 0) return fault
  }
  return 'none'
}

/** Determines the fault and run time of a task; options in its payload take precedence over the behaviour. */
export const plan = ({ run, faults }: Behaviour, payload: unknown, generator: random.Random): Plan => {
  const options = isTaskOptions.Check(payload) ? payload : {}
  const drawnFault = drawFault(faults, generator)
  const drawnRunMs = run.distribution === 'fixed' ? run.runMs : generator.exponential(run.runMs)
  const fault = options.fault ?? drawnFault
  return { fault, runMs: (options.runMs ?? drawnRunMs) * (fault === 'slow' ? faults.slowFactor : 1), token: options.token }
}
