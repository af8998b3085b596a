import type * as random from '@mustarddeck/random'
import type * as http from './http.ts'

/** Addresses of the entries, the current address, and the name of the entry that last answered there. */
export interface Entries {
  current (): string
  /** Name of the entry; undefined until one has answered after a change of address or a lost request. */
  name (): string | undefined
  /** Records the name from an answer of this address, or switches to the next address if no answer came. */
  recordAnswer (address: string, answer: http.Answer): void
  /** Switches to the next address, unless another request has already switched. */
  switchFrom (address: string): void
}

export const create = (addresses: string[], generator: random.Random): Entries => {
  let currentIndex = generator.integer(0, addresses.length - 1)
  let name: string | undefined

  const switchFrom = (address: string): void => {
    if (addresses[currentIndex] !== address || addresses.length === 1) return
    currentIndex = (currentIndex + 1) % addresses.length
    name = undefined
  }
  return {
    current: () => addresses[currentIndex]!,
    name: () => name,
    recordAnswer: (address, answer) => {
      if (addresses[currentIndex] !== address) return
      name = answer.kind === 'answer' ? answer.entry : undefined
      if (answer.kind === 'no-answer') switchFrom(address)
    },
    switchFrom
  }
}
