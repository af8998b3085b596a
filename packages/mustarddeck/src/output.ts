/** Where a command writes; standard output and error of the process. */
export const print = (text: string): void => { process.stdout.write(`${text}\n`) }

export const printError = (text: string): void => { process.stderr.write(`${text}\n`) }
