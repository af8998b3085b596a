import type * as clock from '@mustarddeck/clock'
import type * as entry from '@mustarddeck/entry'
import type * as errors from '@mustarddeck/errors'

const CHECK_MS = 200

export type ReadStatus = (url: string) => Promise<errors.Result<entry.Status, string>>

/** Entries below the version, or that cannot be asked, with the reason. */
const behind = async (version: number, urls: string[], read: ReadStatus): Promise<string[]> => {
  const states = await Promise.all(urls.map(async (url) => ({ url, status: await read(url) })))
  return [...new Set(states.flatMap(({ url, status }) => {
    if (status.kind === 'error') return [`${url}: ${status.error}`]
    const { name, configuration, entries } = status.value
    return [{ name, configuration }, ...entries]
      .filter((one) => one.configuration < version)
      .map((one) => `${one.name} has version ${one.configuration}`)
  }))]
}

/**
 * Waits until the entries at these URLs, and the entries that they have links to, have the version or a later one.
 * Returns those that do not have it when the time is over.
 */
export const wait = async ({ version, urls, read, timers, limitMs }: {
  version: number, urls: string[], read: ReadStatus, timers: clock.Timers, limitMs: number
}): Promise<string[]> => {
  const end = timers.monotonic() + limitMs
  for (;;) {
    const late = await behind(version, urls, read)
    if (late.length === 0 || timers.monotonic() >= end) return late
    await new Promise<void>((resolve) => timers.after(CHECK_MS, resolve))
  }
}
