import * as fs from 'node:fs'
import type * as yargs from 'yargs'

/** Adds `--entry`; the environment variable MUSTARDDECK_ENTRY is its default, with URLs separated by commas. */
export const withEntries = <Options>(parser: yargs.Argv<Options>) => parser.option('entry', {
  type: 'string',
  array: true,
  requiresArg: true,
  demandOption: process.env['MUSTARDDECK_ENTRY'] === undefined,
  default: process.env['MUSTARDDECK_ENTRY']?.split(','),
  defaultDescription: 'MUSTARDDECK_ENTRY',
  describe: 'Base URL of an entry; may be given several times'
})

/** Adds `--entry` and `--token-file`; the environment variable MUSTARDDECK_TOKEN is the default token. */
export const withToken = <Options>(parser: yargs.Argv<Options>) => withEntries(parser).option('token-file', {
  type: 'string',
  requiresArg: true,
  describe: 'File that holds the operator token; else MUSTARDDECK_TOKEN'
})

/** Reads the operator token from the file or the environment; undefined if neither is given. */
export const readToken = (file: string | undefined): string | undefined =>
  file === undefined ? process.env['MUSTARDDECK_TOKEN'] : fs.readFileSync(file, 'utf8').trim()
