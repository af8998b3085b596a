export { start, type Entry, type Options } from './process.ts'
export type { Peer, Status } from './status.ts'
