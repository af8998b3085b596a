import * as crypto from 'node:crypto'
import * as random from '@mustarddeck/random'

const MAX_SEED = 2 ** 31
const ALPHABET = 'abcdefghijklmnopqrstuvwxyz0123456789'

/**
 * Random numbers of a process. Texts name incarnations and must be unique among all processes ever, for which the
 * seed's 31 bits are too few; they come from the system's generator.
 */
export const create = (): random.Random => ({
  ...random.create(crypto.randomInt(MAX_SEED)),
  text: (length) => Array.from({ length }, () => ALPHABET[crypto.randomInt(ALPHABET.length)]).join('')
})
