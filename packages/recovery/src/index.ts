export * from './interface.ts'
export { create } from './recovery.ts'
