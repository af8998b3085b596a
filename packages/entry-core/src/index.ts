export * from './interface.ts'
export { create } from './core.ts'
