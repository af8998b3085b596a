import * as levenshtein from 'fastest-levenshtein'

/** One error in a set of declarations. */
export interface Problem {
  /** Path of the file; absent for an object that comes from a published version. */
  file?: string
  /** Position in the file; only for syntax errors, as the parser gives no positions of fields. */
  line?: number
  column?: number
  /** `kind/name` of the object. */
  object?: string
  field?: string
  message: string
  /** Nearest known name. */
  suggestion?: string
}

/** Maximum edit distance as a fraction of the text's length; names beyond it have little in common with the text. */
const MAX_DISTANCE_FRACTION = 0.5
const MIN_MAX_DISTANCE = 2

/** Returns the known name with the smallest edit distance, if that is small enough for a typing error. */
export const nearest = (text: string, known: Iterable<string>): string | undefined => {
  const names = [...known]
  if (names.length === 0) return undefined
  const best = levenshtein.closest(text, names)
  const limit = Math.max(MIN_MAX_DISTANCE, text.length * MAX_DISTANCE_FRACTION)
  return levenshtein.distance(text.toLowerCase(), best.toLowerCase()) <= limit ? best : undefined
}

/** Formats a problem as one line of text. */
export const format = ({ file, line, column, object, field, message, suggestion }: Problem): string => {
  const location = [file, line, column].filter((part) => part !== undefined).join(':')
  const subject = [object, field].filter((part) => part !== undefined).join(' ')
  const hint = suggestion === undefined ? '' : `; did you mean ${suggestion}?`
  return [location, subject, message].filter((part) => part !== '').join(': ') + hint
}
