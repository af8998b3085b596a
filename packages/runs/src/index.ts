export * from './amount.ts'
export * from './interface.ts'
export * from './messages.ts'
