import type * as types from '@mustarddeck/types'

/** A message to send to an entry: a grant of more slots, or a recall of unused ones. */
export type SlotMessage = { kind: 'grant', link: types.LinkId, slots: number } | Recall

/** `flood`: the slots are for work above its fair share, which yields to all other work. */
export interface Recall {
  kind: 'recall'
  link: types.LinkId
  slots: number
  flood?: boolean
}

/** Division of one worker's slots among the entries that are linked to its agent. Times are monotonic, in ms. */
export interface SlotDivision {
  connected (link: types.LinkId, now: number): SlotMessage[]
  /** Frees the unused grants of the link; slots of its running tasks are freed as the tasks end. */
  disconnected (link: types.LinkId, now: number): SlotMessage[]
  /** Replaces the demand of an entry. `waiting`: requested slots by rank; the last rank is for floods. */
  demand (link: types.LinkId, waiting: number[], now: number): SlotMessage[]
  /** Uses one granted slot for a task; false if the link has none. */
  start (link: types.LinkId): boolean
  /** Ends a task of the link. `renewed`: its slot stays granted to the link. */
  end (link: types.LinkId, now: number): { renewed: boolean, moves: SlotMessage[] }
  /** Takes back slots that the entry returned after a recall, possibly fewer than recalled. */
  returned (link: types.LinkId, slots: number, now: number): SlotMessage[]
  /** Withdraws all grants permanently; no slot is granted afterwards. */
  close (): void
  /** Distributes slots again; to be called at `deadline`. */
  timer (now: number): SlotMessage[]
  /** Time in ms at which `timer` is to be called; undefined for none. */
  deadline (): number | undefined
}
