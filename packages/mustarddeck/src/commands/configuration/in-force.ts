import type * as clock from '@mustarddeck/clock'
import type * as entry from '@mustarddeck/entry'
import type * as errors from '@mustarddeck/errors'

const POLL_INTERVAL_MS = 200

/** Reads the status of the entry at a base URL; the error is a message. */
export type ReadStatus = (url: string) => Promise<errors.Result<entry.Status, string>>

/** Describes the entries that have an older version or whose status cannot be read. */
const findLaggingEntries = async (version: number, urls: string[], read: ReadStatus): Promise<string[]> => {
  const replies = await Promise.all(urls.map(async (url) => ({ url, status: await read(url) })))
  return [...new Set(replies.flatMap(({ url, status }) => {
    if (status.kind === 'error') return [`${url}: ${status.error}`]
    const { name, configuration, entries } = status.value
    return [{ name, configuration }, ...entries]
      .filter((candidate) => candidate.configuration < version)
      .map((one) => `${one.name} has version ${one.configuration}`)
  }))]
}

/**
 * Polls until the entries at these URLs, and the entries linked to them, have the version or a later one.
 * Returns descriptions of the entries that still lag behind after `limitMs`; the list is empty on success.
 */
export const waitUntilInForce = async ({ version, urls, read, timers, limitMs }: {
  version: number, urls: string[], read: ReadStatus, timers: clock.Timers, limitMs: number
}): Promise<string[]> => {
  const deadline = timers.monotonic() + limitMs
  for (;;) {
    const lagging = await findLaggingEntries(version, urls, read)
    if (lagging.length === 0 || timers.monotonic() >= deadline) return lagging
    await new Promise<void>((resolve) => timers.after(POLL_INTERVAL_MS, resolve))
  }
}
