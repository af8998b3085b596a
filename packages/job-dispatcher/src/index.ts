export * from './interface.ts'
export { create, type Options } from './dispatcher.ts'
