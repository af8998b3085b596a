import * as levenshtein from 'fastest-levenshtein'

/** One error in a set of declarations. */
export interface Problem {
  /** Path of the file; absent for an object that comes from a published version. */
  file?: string
  /** Position in the file, for errors of syntax only: the parser gives none for fields. */
  line?: number
  column?: number
  /** `kind/name` of the object. */
  object?: string
  field?: string
  message: string
  /** Nearest known name. */
  suggestion?: string
}

/** A longer distance suggests names that have little in common with what was written. */
const MAX_DISTANCE_SHARE = 0.5
const MIN_MAX_DISTANCE = 2

/** The known name with the least edit distance, if it is near enough to be a slip of the pen. */
export const nearest = (text: string, known: Iterable<string>): string | undefined => {
  const names = [...known]
  if (names.length === 0) return undefined
  const best = levenshtein.closest(text, names)
  const limit = Math.max(MIN_MAX_DISTANCE, text.length * MAX_DISTANCE_SHARE)
  return levenshtein.distance(text.toLowerCase(), best.toLowerCase()) <= limit ? best : undefined
}

/** One line of a problem for people. */
export const format = ({ file, line, column, object, field, message, suggestion }: Problem): string => {
  const place = [file, line, column].filter((part) => part !== undefined).join(':')
  const subject = [object, field].filter((part) => part !== undefined).join(' ')
  const hint = suggestion === undefined ? '' : `; did you mean ${suggestion}?`
  return [place, subject, message].filter((part) => part !== '').join(': ') + hint
}
