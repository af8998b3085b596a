import type * as errors from '@mustarddeck/errors'
import type * as platform from '@mustarddeck/platform'
import type * as types from '@mustarddeck/types'

/** Operations on the rows `membership` and `members/<failure domain>`; each retries conflicts and lost answers. */
export interface Registry {
  /**
   * Reads all rows; the result may be stale. No row in it is older than one that this registry has read before, so that
   * a member that is missing after it was listed has departed.
   */
  read (): Promise<errors.Result<types.Membership, platform.StoreError>>
  /**
   * Adds the member, and counts another incarnation of the same worker as departed. The fences and departures in the
   * result are not stale. `conflict` means that this incarnation has departed and must not register again.
   */
  register (member: types.Member): Promise<errors.Result<types.Membership, platform.StoreError>>
  /** Removes that incarnation of the worker if it is still listed. */
  depart (member: types.Member): Promise<errors.Result<types.Membership, platform.StoreError>>
  /** Adds the fence on condition that no row changed; success proves that the returned membership is not stale. */
  fence (incarnation: types.Incarnation): Promise<errors.Result<types.Membership, platform.StoreError>>
}

export * from './registry.ts'
export { MAX_DEPARTED } from './rows.ts'
