export * from './interface.ts'
export { create, type Settings } from './links.ts'
export type { Limits } from './session.ts'
