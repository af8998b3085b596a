import * as role from '../role.ts'
import type * as commands from './command.ts'

export const command: commands.Command<{ settings: string }> = {
  command: 'entry',
  describe: 'Run an entry',
  builder: (parser) => parser.options(role.settingsOption),
  run: ({ settings }) => role.run('entry', settings, async (loaded) => {
    const entry = await import('@mustarddeck/entry')
    return entry.start(loaded)
  })
}
