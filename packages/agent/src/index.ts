export * from './agent.ts'
export { start, type Running } from './start.ts'
