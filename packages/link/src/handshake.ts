import * as crypto from 'node:crypto'
import * as typebox from '@sinclair/typebox'
import * as compiler from '@sinclair/typebox/compiler'
import * as codec from './codec.ts'

const { Type } = typebox

const NONCE_BYTES = 32
const PROOF_BYTES = 32
/** Maximum size in bytes of a frame from a peer that is not authenticated yet. */
export const MAX_FRAME_BYTES = 1024

const Nonce = Type.Uint8Array({ minByteLength: NONCE_BYTES, maxByteLength: NONCE_BYTES })
const Proof = Type.Uint8Array({ minByteLength: PROOF_BYTES, maxByteLength: PROOF_BYTES })

/** Sent by the acceptor: protocol version and a new nonce. */
const Challenge = Type.Object({ kind: Type.Literal('challenge'), version: Type.Integer(), nonce: Nonce })
/** Sent by the dialer: proof for the challenge, and its own nonce. */
const Response = Type.Object({ kind: Type.Literal('response'), nonce: Nonce, proof: Proof })
/** Sent by the acceptor: proof for the dialer's nonce. */
const Confirmation = Type.Object({ kind: Type.Literal('confirmation'), proof: Proof })

export type Challenge = typebox.Static<typeof Challenge>
export type Response = typebox.Static<typeof Response>
export type Confirmation = typebox.Static<typeof Confirmation>

const parser = <Schema extends typebox.TSchema>(schema: Schema) => {
  const validator = compiler.TypeCompiler.Compile(schema)
  return (frame: Uint8Array): typebox.Static<Schema> | undefined => {
    const value = frame.length <= MAX_FRAME_BYTES ? codec.unpack(frame) : undefined
    return validator.Check(value) ? value : undefined
  }
}

export const parseChallenge = parser(Challenge)
export const parseResponse = parser(Response)
export const parseConfirmation = parser(Confirmation)

export const nonce = (): Buffer => crypto.randomBytes(NONCE_BYTES)

/**
 * Returns the proof that one side of a connection knows the shared key. It covers both nonces and the side, so that it
 * can be neither replayed nor reflected to its sender.
 */
export const prove = (key: string, side: 'dialer' | 'acceptor', dialer: Uint8Array, acceptor: Uint8Array): Buffer =>
  crypto.createHmac('sha256', key).update(`mustarddeck link ${side}\n`).update(dialer).update(acceptor).digest()

/** Compares in constant time. */
export const matches = (proof: Uint8Array, expected: Uint8Array): boolean =>
  proof.length === expected.length && crypto.timingSafeEqual(proof, expected)
