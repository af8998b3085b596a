import bodyParser from '@koa/bodyparser'
import * as routing from '@koa/router'
import type * as clock from '@mustarddeck/clock'
import type * as random from '@mustarddeck/random'
import type * as settings from '@mustarddeck/settings'
import Koa from 'koa'
import { once } from 'node:events'
import * as http from 'node:http'
import type * as net from 'node:net'
import * as behaviours from './behaviour.ts'
import * as records from './record.ts'

/**
 * Stand-in for a backend server.
 *
 * - `POST /run` runs a task. The payload may choose `runMs`, `fault` and `token`; the answer repeats the payload.
 * - `GET /report` gives the counts, `DELETE /report` resets them.
 * - `GET /starts/:job/:task` gives the number of starts of one task.
 * - `GET /behaviour` and `PATCH /behaviour` read and change run time and faults.
 */
export interface BackendStandIn {
  /** Returns the host and port in use. */
  listen (): Promise<string>
  change (change: behaviours.Change): void
  report (): records.Report
  startsOf (job: string, task: number | string): number
  /** Closes all connections; tasks that run get no answer. */
  stop (): Promise<void>
}

export interface Settings {
  settings: settings.BackendStandIn
  timers: clock.Timers
  random: random.Random
}

const MAX_BODY = '16mb'

export const create = ({ settings, timers, random: generator }: Settings): BackendStandIn => {
  const { run, faults } = settings
  const behaviour: behaviours.Behaviour = { run: { ...run }, faults: { ...faults } }
  const record = records.create()

  const change = (wanted: behaviours.Change): void => {
    Object.assign(behaviour.run, wanted.run)
    Object.assign(behaviour.faults, wanted.faults)
  }

  /** Runs until the planned time has passed or the caller has gone away. */
  const runTask = (context: Koa.Context, { fault, runMs }: behaviours.Plan): Promise<'ended' | 'aborted'> =>
    new Promise((resolve) => {
      const cancel = fault === 'hang' ? () => {} : timers.after(runMs, () => resolve('ended'))
      context.res.once('close', () => {
        cancel()
        resolve('aborted')
      })
    })

  const answer = async (context: Koa.Context): Promise<void> => {
    const job = context.get('mustarddeck-job')
    const task = context.get('mustarddeck-task')
    if (job === '' || task === '') {
      record.reject()
      return context.throw(400, 'the headers mustarddeck-job and mustarddeck-task are missing')
    }
    const payload = context.request.body
    const plan = behaviours.plan(behaviour, payload, generator)
    if (plan.fault === 'refuse') {
      record.refuse()
      context.status = 503
      context.set('mustarddeck-not-started', 'true')
      return
    }
    record.start(`${job}/${task}`, plan.token)
    const end = await runTask(context, plan)
    if (end === 'aborted') return record.end('aborted')
    if (plan.fault === 'close') {
      record.end('closed')
      context.req.socket.destroy()
      return
    }
    record.end(plan.fault === 'fail' ? 'failed' : 'finished')
    if (plan.fault === 'fail') return context.throw(500, 'the task failed as planned', { expose: true })
    context.body = { job, task, attempt: context.get('mustarddeck-attempt'), payload }
  }

  const router = new routing.Router()
  router.post('/run', answer)
  router.get('/report', (context) => { context.body = record.report() })
  router.delete('/report', (context) => {
    record.reset()
    context.status = 204
  })
  router.get('/starts/:job/:task', (context) => {
    context.body = { starts: record.startsOf(`${context['params'].job}/${context['params'].task}`) }
  })
  router.get('/behaviour', (context) => { context.body = behaviour })
  router.patch('/behaviour', (context) => {
    const wanted = context.request.body
    if (!behaviours.isChange.Check(wanted)) return context.throw(422, 'not a change of run time and faults')
    change(wanted)
    context.body = behaviour
  })

  const app = new Koa()
  // A payload may be any JSON value, not only an object or a list.
  app.use(bodyParser({ enableTypes: ['json'], jsonStrict: false, jsonLimit: MAX_BODY }))
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
    report: record.report,
    startsOf: (job, task) => record.startsOf(`${job}/${task}`),
    stop: async () => {
      const closed = once(server, 'close')
      server.close()
      server.closeAllConnections()
      await closed
    }
  }
}

export type { Change, Fault } from './behaviour.ts'
export type { Report } from './record.ts'
