/** Seed of the hash (FNV-1a, 32 bits). */
const OFFSET = 0x811c9dc5
const PRIME = 0x01000193

const hash = (text: string, seed: number): number => {
  let value = seed
  for (let index = 0; index < text.length; index++) value = Math.imul(value ^ text.charCodeAt(index), PRIME)
  return value
}
/** Spreads differences in the last characters over all bits. */
const mix = (value: number): number => {
  let mixed = value ^ (value >>> 16)
  mixed = Math.imul(mixed, 0x85ebca6b)
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35)
  return (mixed ^ (mixed >>> 16)) >>> 0
}

/**
 * Rank of an address for a key (rendezvous hashing): the address with the highest rank is the key's registrar. When an
 * address is added or removed, only the keys of that address change their registrar.
 */
export const rankOf = (key: string, address: string): number => mix(hash(key, hash(address, OFFSET)))
