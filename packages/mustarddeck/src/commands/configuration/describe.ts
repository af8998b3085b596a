import type * as configuration from '@mustarddeck/configuration'
import * as declarations from '@mustarddeck/declarations'
import type * as platform from '@mustarddeck/platform'
import * as exitCode from '../../exit-code.ts'
import type * as reports from './report.ts'

/** Report of declarations that are not valid. */
export const invalidDeclarations = (found: declarations.Problem[]): reports.Report => ({
  code: exitCode.FAILED,
  lines: [],
  problems: found.map(declarations.formatProblem),
  json: { ok: false, error: { kind: 'invalid', problems: found } }
})

const publishErrorMessage = (error: Exclude<configuration.PublishError, { kind: 'invalid' }>): string => {
  switch (error.kind) {
    case 'clash': return `conflict with version ${error.version}, nothing was published: ${error.objects.join(', ')}`
    case 'unknown-base': return `version ${error.version} is not known`
    case 'unavailable': return `nothing was published, the store is not available: ${error.message}`
    case 'uncertain':
      return `no answer from the store: the change may have been published; see mustarddeck history (${error.message})`
  }
}

/** Report of a publication that failed or whose result is uncertain. */
export const publishError = (error: configuration.PublishError): reports.Report => error.kind === 'invalid'
  ? invalidDeclarations(error.problems)
  : { code: exitCode.FAILED, lines: [], problems: [publishErrorMessage(error)], json: { ok: false, error } }

/** Report of a failed read from the configuration store. */
export const storeError = (error: platform.StoreError): reports.Report => ({
  code: exitCode.FAILED,
  lines: [],
  problems: [error.kind === 'conflict' ? 'the rows change too often' : `the store is not available: ${error.message}`],
  json: { ok: false, error }
})

export const formatChanges = (list: declarations.Change[]): string[] => list.flatMap(declarations.formatChange)
