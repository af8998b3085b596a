import type * as random from '@mustarddeck/random'
import type * as http from './http.ts'

/** Addresses of the entries, the one in use, and the name of the entry that last answered there. */
export interface Entries {
  current (): string
  /** Undefined until an entry has answered since the address changed or a request was lost. */
  name (): string | undefined
  /** Notes the answer of the entry at this address. */
  heard (address: string, answer: http.Answer): void
  /** Goes to the next address, unless another request already left this one. */
  leave (address: string): void
}

export const create = (addresses: string[], generator: random.Random): Entries => {
  let at = generator.integer(0, addresses.length - 1)
  let name: string | undefined

  const leave = (address: string): void => {
    if (addresses[at] !== address || addresses.length === 1) return
    at = (at + 1) % addresses.length
    name = undefined
  }
  return {
    current: () => addresses[at]!,
    name: () => name,
    heard: (address, answer) => {
      if (addresses[at] !== address) return
      name = answer.kind === 'answer' ? answer.entry : undefined
      if (answer.kind === 'no-answer') leave(address)
    },
    leave
  }
}
