export * from './interface.ts'
export { create, type Destination, type Level, type Settings } from './log.ts'
