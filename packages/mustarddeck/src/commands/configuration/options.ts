import type * as yargs from 'yargs'

export interface Output {
  json: boolean
}

export interface Store {
  platform: string
}

export interface Directory {
  directory: string
}

export const withJson = <Options>(parser: yargs.Argv<Options>): yargs.Argv<Options & Output> =>
  parser.option('json', { type: 'boolean', default: false, describe: 'Print JSON' })

/** Adds `--platform`; the environment variable MUSTARDDECK_PLATFORM is its default. */
export const withStore = <Options>(parser: yargs.Argv<Options>): yargs.Argv<Options & Store> =>
  parser.option('platform', {
    type: 'string',
    requiresArg: true,
    demandOption: process.env['MUSTARDDECK_PLATFORM'] === undefined,
    default: process.env['MUSTARDDECK_PLATFORM'],
    defaultDescription: 'MUSTARDDECK_PLATFORM',
    describe: 'URL of the platform\'s table service and object store'
  }) as yargs.Argv<Options & Store>

export const withDirectory = <Options>(parser: yargs.Argv<Options>): yargs.Argv<Options & Directory> =>
  parser.positional('directory', {
    type: 'string', demandOption: true, describe: 'Directory with TOML files of declarations'
  })

export const withBase = <Options>(parser: yargs.Argv<Options>): yargs.Argv<Options & { base?: number }> =>
  parser.option('base', {
    type: 'number',
    requiresArg: true,
    describe: 'Version that the directory was derived from; later changes are merged. Default: the version in force'
  })
