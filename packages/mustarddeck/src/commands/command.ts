import type * as yargs from 'yargs'

/** Takes the exit code of the command that ran. */
export type Finish = (code: number) => void

/** One command. `run` loads what it needs lazily, since each role has its own libraries. */
export interface Command<Options> {
  command: string
  describe: string
  builder: (parser: yargs.Argv) => yargs.Argv<Options>
  run: (options: Options) => Promise<number>
}

/** Turns a command into the module that yargs takes. */
export const toModule = <Options>({ command, describe, builder, run }: Command<Options>, finish: Finish) => ({
  command,
  describe,
  builder: builder as (parser: yargs.Argv) => yargs.Argv,
  handler: async (options: unknown) => finish(await run(options as Options))
} satisfies yargs.CommandModule)
