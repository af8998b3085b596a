import * as fs from 'node:fs'
import type * as yargs from 'yargs'

/** Options that name entries; the environment variable MUSTARDDECK_ENTRY holds a default. */
export const withEntries = <Options>(parser: yargs.Argv<Options>) => parser.option('entry', {
  type: 'string',
  array: true,
  requiresArg: true,
  demandOption: process.env['MUSTARDDECK_ENTRY'] === undefined,
  default: process.env['MUSTARDDECK_ENTRY']?.split(','),
  defaultDescription: 'MUSTARDDECK_ENTRY',
  describe: 'Base URL of an entry; may be given several times'
})

/** Options of the operator API; the environment variable MUSTARDDECK_TOKEN holds a default token. */
export const withToken = <Options>(parser: yargs.Argv<Options>) => withEntries(parser).option('token-file', {
  type: 'string',
  requiresArg: true,
  describe: 'File that holds the operator token; else MUSTARDDECK_TOKEN'
})

/** Returns undefined when no token is given. */
export const token = (file: string | undefined): string | undefined =>
  file === undefined ? process.env['MUSTARDDECK_TOKEN'] : fs.readFileSync(file, 'utf8').trim()
