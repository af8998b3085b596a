import * as errors from '@mustarddeck/errors'

/** A part of a process with a life of its own. `stop` ends it gracefully. */
export interface Service {
  start? (): Promise<void> | void
  stop? (): Promise<void> | void
}

/** Registry through which the services of one process find each other by name. */
export interface Kernel {
  /** Adds a service. Services start in the order of registration and stop in the reverse order. */
  register<Part extends Service> (name: string, service: Part): Part
  /** Returns the service of that name; its absence is a programming error. */
  get<Part extends Service> (name: string): Part
  start (): Promise<void>
  /** Stops every started service; a second call waits for the first. */
  stop (): Promise<void>
}

export const create = (): Kernel => {
  const services = new Map<string, Service>()
  const started: Service[] = []
  let stopping: Promise<void> | undefined

  const stopAll = async (): Promise<void> => {
    for (const service of started.splice(0).reverse()) await service.stop?.()
  }
  const stop = (): Promise<void> => {
    stopping ??= stopAll()
    return stopping
  }
  return {
    register: (name, service) => {
      errors.invariant(!services.has(name), `service ${name} is registered twice`)
      services.set(name, service)
      return service
    },
    get: <Part extends Service>(name: string): Part => {
      const service = services.get(name)
      errors.invariant(service, `service ${name} is not registered`)
      return service as Part
    },
    start: async () => {
      for (const service of services.values()) {
        await service.start?.()
        started.push(service)
      }
    },
    stop
  }
}
