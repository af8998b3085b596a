import * as role from '../role.ts'
import type * as commands from './command.ts'

export const command: commands.Command<{ settings: string }> = {
  command: 'stand-in',
  describe: 'Run a stand-in for a backend server',
  builder: (parser) => parser.options(role.settingsOption),
  run: ({ settings }) => role.run('backend stand-in', settings, async (loaded) => {
    const standIn = await import('@mustarddeck/backend-stand-in')
    return standIn.start(loaded)
  })
}
