import * as msgpackr from 'msgpackr/pack'
import * as messages from '@mustarddeck/messages'

/**
 * Frames are msgpack arrays of maps. The record extension of msgpackr is disabled, since its definitions make single
 * messages longer. References are rejected on receipt, so that no decoded value is cyclic.
 */
const packr = new msgpackr.Packr({
  useRecords: false, variableMapSize: true, structuredClone: false, int64AsType: 'number'
})

export const pack = (value: unknown): Buffer => packr.pack(value)

/** Returns undefined if the bytes are not exactly one msgpack value. */
export const unpack = (frame: Uint8Array): unknown => {
  try {
    return packr.unpack(frame)
  } catch {
    return undefined
  }
}

/**
 * Packs messages into frames of at most `maxBytes`, in order; splits the batch only if needed. Returns undefined if a
 * single message exceeds the limit.
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

/** Returns undefined if any message of the frame is invalid, so that a malformed frame has no effect. */
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
