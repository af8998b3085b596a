export * from './server.ts'
export { FAULTS_PATH } from './faults.ts'
