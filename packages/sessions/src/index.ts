export * from './address.ts'
export * from './pause.ts'
export * from './sessions.ts'
