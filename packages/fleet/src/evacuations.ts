import type * as logging from '@mustarddeck/log'

/** Longest name of a zone in UTF-16 code units; the zones of the deployments have names of up to 20. */
export const MAX_ZONE_LENGTH = 128
/** Maximum number of evacuated zones; deployments have 4. A message with the longest names stays under 100 kB. */
export const MAX_ZONES = 256
/** Maximum number of zones in one log line; the log truncates longer values. */
const MAX_LOGGED_ZONES = 16

/** Zones on whose workers nothing may be started, as of a version of the store. */
export interface Evacuations {
  storeVersion: number
  zones: string[]
}

/** The evacuated zones in the store, or the zones whose row has changed, in order of the changes. */
export type EvacuationRows =
  | { kind: 'all', zones: string[] }
  | { kind: 'changes', changes: Array<{ zone: string, evacuated: boolean }> }

/** The evacuations that a process knows of. Of two sets, the one with the higher store version holds. */
export interface EvacuationRecord {
  /** Undefined until the store or a peer has been heard. */
  current (): Evacuations | undefined
  /** Applies what the store returned as of `storeVersion`. Returns false if all rows have to be read. */
  read (rows: EvacuationRows, storeVersion: number): boolean
  /** Applies the set of a peer if it holds as of a higher store version. */
  receive (evacuations: Evacuations): void
}

export interface Options {
  log: logging.Log
  /** Called when the first set is known, and when the set has changed. */
  onChange (evacuations: Evacuations): void
}

export const isZone = (value: unknown): value is string =>
  typeof value === 'string' && value !== '' && value.length <= MAX_ZONE_LENGTH

/** True if both sets have the same zones; each lists them in the order of `compareZones`. */
export const isSame = ({ zones: left }: Evacuations, { zones: right }: Evacuations): boolean =>
  left.length === right.length && left.every((zone, index) => zone === right[index])

const compareZones = (left: string, right: string): number =>
  left.length - right.length || (left < right ? -1 : Number(left > right))

export const create = ({ log, onChange }: Options): EvacuationRecord => {
  let current: Evacuations | undefined
  /** True if zones were left out of the current set, so that changes cannot be applied to it. */
  let isCut = false

  /** Sorts the zones and leaves out those that cannot be kept. Names of real zones are short, so the shortest stay. */
  const select = (zones: Iterable<string>): string[] => {
    const distinct = [...new Set(zones)]
    const valid = distinct.filter(isZone).sort(compareZones)
    const ignored = distinct.length - valid.length
    if (ignored > 0) log.warn('evacuations-malformed', { count: ignored, maxLength: MAX_ZONE_LENGTH })
    isCut = valid.length > MAX_ZONES
    if (isCut) log.error('evacuations-left-out', { count: valid.length - MAX_ZONES, limit: MAX_ZONES })
    return valid.slice(0, MAX_ZONES)
  }
  const hold = (zones: string[], storeVersion: number, source: 'store' | 'peer'): void => {
    const previous = current
    current = { storeVersion, zones }
    if (previous && isSame(previous, current)) return
    // A warning, since the log drops lines of lower levels first.
    const writeLog = previous || zones.length > 0 ? log.warn : log.info
    const shown = zones.slice(0, MAX_LOGGED_ZONES).join(',')
    writeLog('evacuations', { zones: shown, count: zones.length, storeVersion, source })
    onChange(current)
  }
  return {
    current: () => current,
    read: (rows, storeVersion) => {
      if (current && storeVersion < current.storeVersion) return true
      if (rows.kind === 'all') {
        hold(select(rows.zones), storeVersion, 'store')
        return true
      }
      if (!current) return false
      if (rows.changes.length === 0) {
        hold(current.zones, storeVersion, 'store')
        return true
      }
      if (isCut) return false
      const zones = new Set(current.zones)
      for (const { zone, evacuated } of rows.changes) {
        if (evacuated) zones.add(zone)
        else zones.delete(zone)
      }
      hold(select(zones), storeVersion, 'store')
      return true
    },
    receive: ({ storeVersion, zones }) => {
      if (current && storeVersion <= current.storeVersion) return
      hold(select(zones), storeVersion, 'peer')
      // The peer may have left out zones too.
      isCut = zones.length >= MAX_ZONES
    }
  }
}
