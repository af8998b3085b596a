import type * as random from '@mustarddeck/random'
import type * as settings from '@mustarddeck/settings'
import * as typebox from '@sinclair/typebox'
import * as compiler from '@sinclair/typebox/compiler'

const { Type } = typebox

/**
 * What happens to one task. `fail`: status 500 after the run time; `hang`: no answer; `slow`: a longer run time;
 * `refuse`: status 503 as not started; `close`: the connection is closed after the run time without an answer.
 */
export const Fault = Type.Union([
  Type.Literal('none'), Type.Literal('fail'), Type.Literal('hang'), Type.Literal('slow'), Type.Literal('refuse'),
  Type.Literal('close')
])
export type Fault = typebox.Static<typeof Fault>

export type Behaviour = Pick<settings.BackendStandIn, 'run' | 'faults'>

const Share = Type.Number({ minimum: 0, maximum: 1 })

/** Change of the behaviour while the stand-in runs; absent fields stay as they are. */
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

/** A task may choose its own run time and fault in its payload, and a token by which its starts are counted. */
const Wish = Type.Object({
  runMs: Type.Optional(Type.Number({ minimum: 0 })), fault: Type.Optional(Fault), token: Type.Optional(Type.String())
})
const isWish = compiler.TypeCompiler.Compile(Wish)

export interface Plan {
  fault: Fault
  runMs: number
  token: string | undefined
}

const RANDOM_FAULTS = ['fail', 'hang', 'slow', 'refuse', 'close'] as const

/** Draws one number per task, so that the shares add up. */
const drawFault = (faults: Behaviour['faults'], generator: random.Random): Fault => {
  let rest = generator.float()
  for (const fault of RANDOM_FAULTS) {
    rest -= faults[fault]
    if (rest < 0) return fault
  }
  return 'none'
}

/** Decides fault and run time of one task. */
export const plan = ({ run, faults }: Behaviour, payload: unknown, generator: random.Random): Plan => {
  const wish = isWish.Check(payload) ? payload : {}
  const drawnFault = drawFault(faults, generator)
  const drawnMs = run.distribution === 'fixed' ? run.runMs : generator.exponential(run.runMs)
  const fault = wish.fault ?? drawnFault
  return { fault, runMs: (wish.runMs ?? drawnMs) * (fault === 'slow' ? faults.slowFactor : 1), token: wish.token }
}
