export * as budget from './budget.ts'
export * from './guard.ts'
export * from './interface.ts'
export { create, type Destination, type Level, type Settings } from './log.ts'
