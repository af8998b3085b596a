import type * as yargs from 'yargs'

/** Receives the exit code of the executed command. */
export type ExitCodeHandler = (code: number) => void

/** A command. `run` imports its dependencies lazily, so that a role loads only its own libraries. */
export interface Command<Options> {
  command: string
  describe: string
  builder: (parser: yargs.Argv) => yargs.Argv<Options>
  run: (options: Options) => Promise<number>
}

/** Converts a command to a yargs command module. */
export const toModule = <Options>({ command, describe, builder, run }: Command<Options>, onExit: ExitCodeHandler) => ({
  command,
  describe,
  builder: builder as (parser: yargs.Argv) => yargs.Argv,
  handler: async (options: unknown) => onExit(await run(options as Options))
} satisfies yargs.CommandModule)
