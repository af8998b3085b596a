import type * as messages from '@mustarddeck/messages'
import type * as types from '@mustarddeck/types'
import type * as core from './interface.ts'

/** Shared by all modules of the core: collects effects and holds the time of the current input. */
export interface Context {
  settings: core.Settings
  /** Time of the current input in monotonic ms. */
  now (): number
  emit (effect: core.Effect): void
  send (link: types.LinkId, message: messages.Message): void
  /** Emits one log line as a `decision` effect. */
  log (event: string, fields: Record<string, string | number | boolean>): void
  /** Begins a new input at the given time and returns the list that collects its effects. */
  beginInput (now: number): core.Effect[]
}

export const create = (settings: core.Settings): Context => {
  let effects: core.Effect[] = []
  let inputTime = 0
  const emit = (effect: core.Effect): void => { effects.push(effect) }
  return {
    settings,
    now: () => inputTime,
    emit,
    send: (link, message) => emit({ kind: 'send', link, message }),
    log: (event, fields) => emit({ kind: 'decision', event, fields }),
    beginInput: (now) => {
      inputTime = now
      effects = []
      return effects
    }
  }
}
