/** Exit codes of all commands. */
export const OK = 0
/** The command was valid but failed, for example on invalid declarations, a conflict or an incomplete job. */
export const FAILED = 1
/** Invalid usage or settings. */
export const USAGE = 2
