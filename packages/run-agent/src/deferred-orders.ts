import type * as runs from '@mustarddeck/runs'

/** An order whose task still has an earlier run on the worker. */
export interface DeferredOrder {
  link: number
  spec: string
  requested: runs.RequestedTask
}

/**
 * Orders that wait for the end of an earlier run of their task. If they were refused, their entry would start the task
 * on another worker while that run goes on.
 */
export interface DeferredOrders {
  add (order: DeferredOrder): void
  has (task: runs.TaskId): boolean
  /** Number of orders that came over links of the given kind. */
  count (isCounted: (link: number) => boolean): number
  /** Removes and returns the first order of the task. */
  next (task: runs.TaskId): DeferredOrder | undefined
  /** Removes and returns the orders of the task that came over the link. */
  take (task: runs.TaskId, link: number): DeferredOrder[]
  /** Removes all orders that came over the link. */
  dropLink (link: number): void
}

export const create = (): DeferredOrders => {
  let orders: DeferredOrder[] = []

  const remove = (isRemoved: (order: DeferredOrder) => boolean): DeferredOrder[] => {
    const removed = orders.filter(isRemoved)
    if (removed.length > 0) orders = orders.filter((order) => !removed.includes(order))
    return removed
  }
  return {
    add: (order) => { orders.push(order) },
    has: (task) => orders.some(({ requested }) => requested.task === task),
    count: (isCounted) => orders.filter(({ link }) => isCounted(link)).length,
    next: (task) => {
      const index = orders.findIndex(({ requested }) => requested.task === task)
      return index < 0 ? undefined : orders.splice(index, 1)[0]
    },
    take: (task, link) => remove((order) => order.link === link && order.requested.task === task),
    dropLink: (link) => { remove((order) => order.link === link) }
  }
}
