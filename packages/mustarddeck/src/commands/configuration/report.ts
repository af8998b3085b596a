import * as output from '../../output.ts'

/** What a command found, for people and as JSON for other programs. */
export interface Report {
  code: number
  /** Goes to standard output. */
  lines: string[]
  /** Goes to standard error. */
  problems?: string[]
  /** Replaces `lines` and `problems` with the option `--json`; goes to standard output. */
  json: unknown
}

/** Prints the report and returns its exit code. */
export const emit = ({ code, lines, problems = [], json }: Report, asJson: boolean): number => {
  if (asJson) output.print(JSON.stringify(json, undefined, 2))
  else {
    for (const line of lines) output.print(line)
    for (const problem of problems) output.printError(problem)
  }
  return code
}
