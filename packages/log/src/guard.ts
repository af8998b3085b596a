import type * as log from './interface.ts'

const report = (writer: log.Log, reader: string, cause: unknown): void =>
  writer.error('reader-failed', { reader, reason: cause instanceof Error ? cause.stack : String(cause) })

/**
 * Runs one step of a reader of input from elsewhere. An unexpected exception is logged, so that the reader goes on with
 * the next input. Returns true if there was none.
 */
export const guard = (writer: log.Log, reader: string, step: () => void): boolean => {
  try {
    step()
    return true
  } catch (cause) {
    report(writer, reader, cause)
    return false
  }
}

/** As `guard`, for an asynchronous step. */
export const guardAsync = async (writer: log.Log, reader: string, step: () => Promise<void>): Promise<boolean> => {
  try {
    await step()
    return true
  } catch (cause) {
    report(writer, reader, cause)
    return false
  }
}
