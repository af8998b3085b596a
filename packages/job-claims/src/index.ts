export * from './claims.ts'
export type * from './interface.ts'
