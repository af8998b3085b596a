import * as crypto from 'node:crypto'
import * as random from '@mustarddeck/random'

const MAX_SEED = 2 ** 31
const ALPHABET = 'abcdefghijklmnopqrstuvwxyz0123456789'

/**
 * Creates the random number generator of a process. Random texts name incarnations and must be unique across all
 * processes; a 31-bit seed would collide, so they come from the operating system's generator.
 */
export const create = (): random.Random => ({
  ...random.create(crypto.randomInt(MAX_SEED)),
  text: (length) => Array.from({ length }, () => ALPHABET[crypto.randomInt(ALPHABET.length)]).join('')
})
