import type * as jobDispatcher from '@mustarddeck/job-dispatcher'

/** Host and path prefix at which callers submit jobs to a queue. */
export interface Route {
  host: string
  pathPrefix: string
  queue: jobDispatcher.Queue
  /** Default wait limit of callers in ms, used when a request sets none. */
  patienceMs: number
  /** True if another service must approve the worker of each step. Jobs of such a route aren't run. */
  needsAdvice: boolean
}

export interface Limits {
  maxHeaderBytes: number
  maxBodyBytes: number
  headerTimeoutMs: number
  idleTimeoutMs: number
}

/** The configuration that operators publish. */
export interface Deployment {
  version: number
  routes: Route[]
  limits: Limits
}

/** Returns the route of the host with the longest matching path prefix. */
export const findRoute = ({ routes }: Deployment, host: string, path: string): Route | undefined => {
  let best: Route | undefined
  for (const route of routes) {
    if (route.host !== host || !path.startsWith(route.pathPrefix)) continue
    if (!best || route.pathPrefix.length > best.pathPrefix.length) best = route
  }
  return best
}

/** Copies the known fields of a configuration. */
export const copy = ({ version, routes, limits }: Deployment): Deployment => {
  const { maxHeaderBytes, maxBodyBytes, headerTimeoutMs, idleTimeoutMs } = limits
  return {
    version,
    routes: routes.map(({ host, pathPrefix, patienceMs, needsAdvice, queue }) => {
      const { name, service, priority, maxAttempts, stretch, objectiveMs } = queue
      return {
        host, pathPrefix, patienceMs, needsAdvice, queue: { name, service, priority, maxAttempts, stretch, objectiveMs }
      }
    }),
    limits: { maxHeaderBytes, maxBodyBytes, headerTimeoutMs, idleTimeoutMs }
  }
}
