export * from './interface.ts'
export * from './dispatcher.ts'
