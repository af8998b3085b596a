export * from './interface.ts'
export * from './dispatcher.ts'
export type { Policy } from './policy.ts'
export { DEFAULT as DEFAULT_POLICY } from './policy.ts'
