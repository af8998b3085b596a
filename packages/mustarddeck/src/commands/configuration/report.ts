import * as output from '../../output.ts'

/** Result of a command, as text and as JSON. */
export interface Report {
  /** Exit code. */
  code: number
  /** Written to standard output. */
  lines: string[]
  /** Written to standard error. */
  problems?: string[]
  /** With `--json`, written to standard output instead of `lines` and `problems`. */
  json: unknown
}

/** Prints the report and returns its exit code. */
export const printReport = ({ code, lines, problems = [], json }: Report, asJson: boolean): number => {
  if (asJson) output.print(JSON.stringify(json, undefined, 2))
  else {
    for (const line of lines) output.print(line)
    for (const problem of problems) output.printError(problem)
  }
  return code
}
