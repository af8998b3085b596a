export * from './pause.ts'
export * from './sessions.ts'
