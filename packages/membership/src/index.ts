import type * as errors from '@mustarddeck/errors'
import type * as platform from '@mustarddeck/platform'
import type * as types from '@mustarddeck/types'

/** Operations on the rows `membership` and `members/<failure domain>`. Retried after conflicts and lost responses. */
export interface Registry {
  /**
   * Reads all rows. The result may be stale, but no row is older than in an earlier read by this registry. So a member
   * that was listed and is missing later has departed.
   */
  read (): Promise<errors.Result<types.Membership, platform.StoreError>>
  /**
   * Adds the member and records other incarnations of the same worker as departed. Fences and departures in the result
   * are not stale. The error `conflict` means that this incarnation has departed and must not register again.
   */
  register (member: types.Member): Promise<errors.Result<types.Membership, platform.StoreError>>
  /** Removes the incarnation of the worker if it is still listed. */
  depart (member: types.Member): Promise<errors.Result<types.Membership, platform.StoreError>>
  /** Adds the fence on condition that no row has changed, so that the returned membership is not stale. */
  fence (incarnation: types.Incarnation): Promise<errors.Result<types.Membership, platform.StoreError>>
}

export * from './registry.ts'
export { MAX_DEPARTED } from './rows.ts'
