import type * as runs from '@mustarddeck/runs'
import type * as interfaces from './interface.ts'

/** Maximum number of jobs whose holders are kept; the oldest are evicted first. */
const MAX_KEYS = 32_768

/** Holders of the jobs of which this entry is or was the registrar. */
export interface Registry {
  /**
   * Returns the holder if it is another entry than the claimant and has not given up its claim. Otherwise the claimant
   * becomes the holder.
   */
  claim (
    key: runs.JobKey, claimant: interfaces.Claimant, former: interfaces.Former | undefined
  ): interfaces.Incarnation | undefined
  /** Records that the entry holds the job, whichever entry held it before. */
  record (key: runs.JobKey, holder: interfaces.Claimant): void
}

const isGivenUp = ({ incarnation, claim }: interfaces.Claimant, former: interfaces.Former | undefined): boolean =>
  former?.incarnation === incarnation && claim < former.before

/** `mayRun` tells whether an entry, or the tasks that it has ordered, may still run jobs. */
export const create = (mayRun: (incarnation: interfaces.Incarnation) => boolean): Registry => {
  const holders = new Map<runs.JobKey, interfaces.Claimant>()

  const record = (key: runs.JobKey, holder: interfaces.Claimant): void => {
    holders.delete(key)
    holders.set(key, holder)
    const [oldest] = holders.keys()
    if (holders.size > MAX_KEYS && oldest !== undefined) holders.delete(oldest)
  }
  return {
    claim: (key, claimant, former) => {
      const holder = holders.get(key)
      const isOther = holder !== undefined && holder.incarnation !== claimant.incarnation
      if (isOther && !isGivenUp(holder, former) && mayRun(holder.incarnation)) return holder.incarnation
      record(key, claimant)
      return undefined
    },
    record
  }
}
