/** Exit codes of all commands. */
export const OK = 0
/** The request was understood but did not succeed: an invalid set, a conflict, a job that is not complete. */
export const FAILED = 1
/** Wrong usage or settings. */
export const USAGE = 2
