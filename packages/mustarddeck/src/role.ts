import * as settings from '@mustarddeck/settings'
import * as exitCode from './exit-code.ts'
import * as output from './output.ts'

/** A running role. `ended` resolves when the role has stopped by itself, for example after a drain. */
export interface RunningRole {
  stop (): Promise<void>
  ended?: Promise<void>
}

export const settingsOption = {
  settings: { type: 'string', demandOption: true, requiresArg: true, describe: 'Settings file in TOML' }
} as const

/** Resolves on the first SIGTERM or SIGINT. A second signal exits the process immediately with code 1. */
export const waitForStopSignal = (): Promise<void> => new Promise((resolve) => {
  let stopping = false
  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    process.on(signal, () => {
      if (stopping) process.exit(exitCode.FAILED)
      stopping = true
      resolve()
    })
  }
})

/** Waits for a stop signal or the end of the role, stops the role gracefully and exits the process. */
export const runUntilStopped = async (running: RunningRole): Promise<number> => {
  await Promise.race([waitForStopSignal(), running.ended ?? new Promise<void>(() => {})])
  await running.stop()
  // Exits explicitly, since signal listeners and idle sockets of libraries would keep the process alive.
  process.exit(exitCode.OK)
}

/** Loads the settings, starts the role and runs it until it stops. Returns `USAGE` if the settings are invalid. */
export const run = async <Role extends settings.Role>(
  role: Role, file: string, start: (settings: settings.SettingsOf<Role>) => Promise<RunningRole>
): Promise<number> => {
  const loaded = settings.load(role, file)
  if (loaded.kind === 'error') {
    for (const problem of loaded.error) output.printError(settings.format(problem))
    return exitCode.USAGE
  }
  return runUntilStopped(await start(loaded.value))
}
