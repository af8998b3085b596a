export * from './table.ts'
