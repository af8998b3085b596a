import type * as messages from '@mustarddeck/messages'
import type * as types from '@mustarddeck/types'
import type * as core from './interface.ts'

/** What every part of the core uses: where effects go, and the time of the input that is being handled. */
export interface Context {
  settings: core.Settings
  now (): number
  emit (effect: core.Effect): void
  send (link: types.LinkId, message: messages.Message): void
  log (event: string, fields: Record<string, string | number | boolean>): void
  /** Starts handling an input and returns the list that its effects go to. */
  begin (now: number): core.Effect[]
}

export const create = (settings: core.Settings): Context => {
  let effects: core.Effect[] = []
  let time = 0
  const emit = (effect: core.Effect): void => { effects.push(effect) }
  return {
    settings,
    now: () => time,
    emit,
    send: (link, message) => emit({ kind: 'send', link, message }),
    log: (event, fields) => emit({ kind: 'decision', event, fields }),
    begin: (now) => {
      time = now
      effects = []
      return effects
    }
  }
}
