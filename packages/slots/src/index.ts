export * from './interface.ts'
export * from './division.ts'
