export * from './deployment.ts'
export * from './store.ts'
export * as entry from './entry.ts'
export * as agent from './agent.ts'
