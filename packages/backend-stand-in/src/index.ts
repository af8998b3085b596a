export * from './stand-in.ts'
export { start, type Running } from './start.ts'
