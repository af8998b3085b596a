import * as role from '../role.ts'
import type * as commands from './command.ts'

export const command: commands.Command<{ settings: string }> = {
  command: 'agent',
  describe: 'Run the agent of a worker',
  builder: (parser) => parser.options(role.settingsOption),
  run: ({ settings }) => role.run('agent', settings, async (loaded) => {
    const agent = await import('@mustarddeck/agent')
    agent.limitMemory()
    return agent.start(loaded)
  })
}
