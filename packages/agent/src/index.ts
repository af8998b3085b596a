export * from './agent.ts'
export { limitMemory, start, type Running } from './start.ts'
