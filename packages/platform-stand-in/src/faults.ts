import type * as router from '@koa/router'
import * as platform from '@mustarddeck/platform'
import * as typebox from '@sinclair/typebox'
import * as value from '@sinclair/typebox/value'

const Type = typebox.Type
const Share = Type.Number({ minimum: 0, maximum: 1 })
const Duration = Type.Number({ minimum: 0 })

/** Path to read (GET) and change (PATCH with some fields) the current faults. The real platform has no such path. */
export const FAULTS_PATH = '/faults'

/** The fields of `platform.Faults`, each optional. */
export const Faults = Type.Partial(Type.Object({
  down: Type.Boolean(),
  unavailable: Share,
  readMs: Duration,
  writeMs: Duration,
  lostAnswers: Share,
  lostRequests: Share,
  staleReads: Share,
  staleness: Type.Integer({ minimum: 0, maximum: platform.MAX_STALENESS })
}), { additionalProperties: false })

/** Adds the routes to read and change faults. They work even while the store is down. */
export const addFaultRoutes = (api: router.Router, memory: platform.MemoryStore): void => {
  api.get(FAULTS_PATH, (context) => { context.body = memory.faults })
  api.patch(FAULTS_PATH, (context) => {
    const change: unknown = context.request.body
    if (!value.Value.Check(Faults, change)) {
      context.status = 400
      context.body = { error: 'invalid-faults' }
      return
    }
    Object.assign(memory.faults, change)
    context.body = memory.faults
  })
}
