import type * as types from '@mustarddeck/types'

/** A change to send: more slots for a link, or a wish to get unused ones back. */
export type Move = { kind: 'grant', link: types.LinkId, slots: number } | Recall

/** `flood`: the slots are for work above its fair share, which gives way to any other. */
export interface Recall {
  kind: 'recall'
  link: types.LinkId
  slots: number
  flood?: boolean
}

/** Division of one worker's slots among the entries that are linked to its agent. */
export interface Slots {
  connected (link: types.LinkId, now: number): Move[]
  /** Unused grants of the link return; slots of its running tasks return as the tasks end. */
  disconnected (link: types.LinkId, now: number): Move[]
  /** `waiting`: slots that the entry wants, by rank; the last rank is for work above its fair share. */
  demand (link: types.LinkId, waiting: number[], now: number): Move[]
  /** Uses one granted slot; false if the link has none. */
  start (link: types.LinkId): boolean
  /** A task of the link ended. `renewed`: its slot stays granted to the link. */
  end (link: types.LinkId, now: number): { renewed: boolean, moves: Move[] }
  returned (link: types.LinkId, slots: number, now: number): Move[]
  /** Withdraws all grants for good. */
  close (): void
  timer (now: number): Move[]
  deadline (): number | undefined
}
