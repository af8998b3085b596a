import type * as attended from '@mustarddeck/attended'

/** Where callers hand in the jobs of a queue. */
export interface Route {
  host: string
  pathPrefix: string
  queue: attended.Queue
  /** Longest time in ms that a caller waits, where it does not say so itself. */
  patienceMs: number
  /** Another service has to allow a worker for each step; jobs of such a route are not run. */
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

/** Returns the route with the longest prefix of the path. */
export const find = ({ routes }: Deployment, host: string, path: string): Route | undefined => {
  let best: Route | undefined
  for (const route of routes) {
    if (route.host !== host || !path.startsWith(route.pathPrefix)) continue
    if (!best || route.pathPrefix.length > best.pathPrefix.length) best = route
  }
  return best
}
