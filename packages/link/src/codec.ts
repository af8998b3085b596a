import * as msgpackr from 'msgpackr/pack'
import * as messages from '@mustarddeck/messages'

/**
 * Frames are msgpack arrays of maps. Records of msgpackr are not written, since their definitions make single messages
 * longer. References are refused on receipt, so that no decoded value is cyclic.
 */
const packr = new msgpackr.Packr({
  useRecords: false, variableMapSize: true, structuredClone: false, int64AsType: 'number'
})

export const pack = (value: unknown): Buffer => packr.pack(value)

/** Returns undefined for bytes that are not one msgpack value. */
export const unpack = (frame: Uint8Array): unknown => {
  try {
    return packr.unpack(frame)
  } catch {
    return undefined
  }
}

/**
 * Packs messages into as few frames as the size limit allows, in order. Returns undefined when one message alone
 * exceeds `maxBytes`.
 */
export const encode = (batch: messages.Message[], maxBytes: number): Buffer[] | undefined => {
  const frame = pack(batch)
  if (frame.length <= maxBytes) return [frame]
  if (batch.length === 1) return undefined
  const middle = Math.ceil(batch.length / 2)
  const head = encode(batch.slice(0, middle), maxBytes)
  const tail = encode(batch.slice(middle), maxBytes)
  return head && tail && [...head, ...tail]
}

/** Returns undefined if any message of the frame is invalid, so that a malformed frame has no effect at all. */
export const decode = (frame: Uint8Array): messages.Message[] | undefined => {
  const values = unpack(frame)
  if (!Array.isArray(values) || values.length === 0) return undefined
  const batch: messages.Message[] = []
  for (const value of values) {
    const message = messages.parse(value)
    if (!message) return undefined
    batch.push(message)
  }
  return batch
}
