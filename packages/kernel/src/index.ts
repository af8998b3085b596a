import * as errors from '@mustarddeck/errors'

/** A component of a process that is started and stopped with it. `stop` shuts it down gracefully. */
export interface Service {
  start? (): Promise<void> | void
  stop? (): Promise<void> | void
}

/** Registry in which the services of a process look each other up by name. */
export interface Kernel {
  /**
   * Adds a service; throws InvariantError if the name is taken. Services start in the order of registration and stop in
   * the reverse order.
   */
  register<ServiceType extends Service> (name: string, service: ServiceType): ServiceType
  /** Returns the service with this name; throws InvariantError if it is not registered. */
  get<ServiceType extends Service> (name: string): ServiceType
  /** Starts the services one after the other. */
  start (): Promise<void>
  /** Stops all started services. Later calls wait for the first one. */
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
    get: <ServiceType extends Service>(name: string): ServiceType => {
      const service = services.get(name)
      errors.invariant(service, `service ${name} is not registered`)
      return service as ServiceType
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
