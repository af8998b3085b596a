import * as settings from '@mustarddeck/settings'
import * as agent from '../index.ts'

/** Runs an agent with the settings file given as the first argument. */
const run = async (): Promise<void> => {
  const loaded = settings.load('agent', process.argv[2]!)
  if (loaded.kind === 'error') throw new Error(loaded.error.map(settings.format).join('\n'))
  if (process.env['LIMIT_MEMORY'] !== '0') agent.limitMemory()
  const { stop } = await agent.start(loaded.value)
  process.once('SIGTERM', () => { stop().then(() => process.exit(0)) })
}
run()
