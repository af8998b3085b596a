import * as role from '../role.ts'
import type * as commands from './command.ts'

export const command: commands.Command<{ settings: string }> = {
  command: 'stand-in',
  describe: 'Run a stand-in for the platform\'s table service and object store',
  builder: (parser) => parser.options(role.settingsOption),
  run: ({ settings }) => role.run('platform stand-in', settings, async (loaded) => {
    const standIns = await import('../stand-ins.ts')
    return standIns.startPlatform(loaded)
  })
}
