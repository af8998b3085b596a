/** Writes a line to standard output. */
export const print = (text: string): void => { process.stdout.write(`${text}\n`) }

/** Writes a line to standard error. */
export const printError = (text: string): void => { process.stderr.write(`${text}\n`) }
