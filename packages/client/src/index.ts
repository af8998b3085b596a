export { create, type Client, type Job, type Options, type Settings, type Failure } from './client.ts'
