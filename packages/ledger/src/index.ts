export * from './ledger.ts'
