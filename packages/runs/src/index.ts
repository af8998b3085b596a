export * from './resources.ts'
export * from './interface.ts'
export * from './messages.ts'
