export * from './interface.ts'
