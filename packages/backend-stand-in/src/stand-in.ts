import bodyParser from '@koa/bodyparser'
import * as koaRouter from '@koa/router'
import type * as clock from '@mustarddeck/clock'
import type * as random from '@mustarddeck/random'
import type * as settings from '@mustarddeck/settings'
import Koa from 'koa'
import { once } from 'node:events'
import * as http from 'node:http'
import type * as net from 'node:net'
import * as behaviours from './behaviour.ts'
import * as taskCounts from './task-counts.ts'

/**
 * Stand-in for a backend server.
 *
 * - `POST /run` runs a task. The payload may contain `runMs`, `fault` and `token`; the response echoes the payload.
 * - `GET /report` returns the counts, `DELETE /report` resets them.
 * - `GET /starts/:job/:task` returns the number of starts of one task.
 * - `GET /behaviour` and `PATCH /behaviour` read and change run time and faults.
 */
export interface BackendStandIn {
  /** Starts listening. Returns the host and port. */
  listen (): Promise<string>
  change (change: behaviours.Change): void
  report (): taskCounts.Report
  startsOf (job: string, task: number | string): number
  /** Closes all connections; running tasks get no response. */
  stop (): Promise<void>
}

export interface Settings {
  settings: settings.BackendStandIn
  timers: clock.Timers
  random: random.Random
}

const MAX_BODY_SIZE = '16mb'

export const create = ({ settings, timers, random: generator }: Settings): BackendStandIn => {
  const { run, faults } = settings
  const behaviour: behaviours.Behaviour = { run: { ...run }, faults: { ...faults } }
  const counts = taskCounts.create()

  const change = (patch: behaviours.Change): void => {
    Object.assign(behaviour.run, patch.run)
    Object.assign(behaviour.faults, patch.faults)
  }

  /** Waits until the planned run time has passed or the caller disconnects. */
  const runTask = (context: Koa.Context, { fault, runMs }: behaviours.Plan): Promise<'ended' | 'aborted'> =>
    new Promise((resolve) => {
      const cancel = fault === 'hang' ? () => {} : timers.after(runMs, () => resolve('ended'))
      context.res.once('close', () => {
        cancel()
        resolve('aborted')
      })
    })

  const handleRun = async (context: Koa.Context): Promise<void> => {
    const job = context.get('mustarddeck-job')
    const task = context.get('mustarddeck-task')
    if (job === '' || task === '') {
      counts.reject()
      return context.throw(400, 'the headers mustarddeck-job and mustarddeck-task are missing')
    }
    const payload = context.request.body
    const plan = behaviours.plan(behaviour, payload, generator)
    if (plan.fault === 'refuse') {
      counts.refuse()
      context.status = 503
      context.set('mustarddeck-not-started', 'true')
      return
    }
    counts.start(`${job}/${task}`, plan.token)
    const end = await runTask(context, plan)
    if (end === 'aborted') return counts.end('aborted')
    if (plan.fault === 'close') {
      counts.end('closed')
      context.req.socket.destroy()
      return
    }
    counts.end(plan.fault === 'fail' ? 'failed' : 'finished')
    if (plan.fault === 'fail') return context.throw(500, 'the task failed as planned', { expose: true })
    context.body = { job, task, attempt: context.get('mustarddeck-attempt'), payload }
  }

  const router = new koaRouter.Router()
  router.post('/run', handleRun)
  router.get('/report', (context) => { context.body = counts.report() })
  router.delete('/report', (context) => {
    counts.reset()
    context.status = 204
  })
  router.get('/starts/:job/:task', (context) => {
    context.body = { starts: counts.startsOf(`${context['params'].job}/${context['params'].task}`) }
  })
  router.get('/behaviour', (context) => { context.body = behaviour })
  router.patch('/behaviour', (context) => {
    const patch = context.request.body
    if (!behaviours.isChange.Check(patch)) return context.throw(422, 'not a change of run time and faults')
    change(patch)
    context.body = behaviour
  })

  const app = new Koa()
  // A payload may be any JSON value, not only an object or a list.
  app.use(bodyParser({ enableTypes: ['json'], jsonStrict: false, jsonLimit: MAX_BODY_SIZE }))
  app.use(router.routes()).use(router.allowedMethods())
  app.silent = true
  const server = http.createServer(app.callback())

  return {
    listen: async () => {
      server.listen(settings.http.port, settings.http.host)
      await once(server, 'listening')
      const { address, port } = server.address() as net.AddressInfo
      return `${address}:${port}`
    },
    change,
    report: counts.report,
    startsOf: (job, task) => counts.startsOf(`${job}/${task}`),
    stop: async () => {
      const closed = once(server, 'close')
      server.close()
      server.closeAllConnections()
      await closed
    }
  }
}

export type { Change, Fault } from './behaviour.ts'
export type { Report } from './task-counts.ts'
