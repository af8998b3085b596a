import * as settings from '@mustarddeck/settings'
import * as exitCode from './exit-code.ts'
import * as output from './output.ts'

/** A running role. `ended` settles when it has stopped by itself, such as after a drain. */
export interface Running {
  stop (): Promise<void>
  ended?: Promise<void>
}

export const settingsOption = {
  settings: { type: 'string', demandOption: true, requiresArg: true, describe: 'Settings file in TOML' }
} as const

/** Settles on the first SIGTERM or SIGINT. A second one ends the process at once with exit code 1. */
export const stopSignal = (): Promise<void> => new Promise((resolve) => {
  let stopping = false
  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    process.on(signal, () => {
      if (stopping) process.exit(exitCode.FAILED)
      stopping = true
      resolve()
    })
  }
})

/** Runs until a signal or the role's own end, then stops it gracefully. */
export const runUntilStopped = async (running: Running): Promise<number> => {
  await Promise.race([stopSignal(), running.ended ?? new Promise<void>(() => {})])
  await running.stop()
  // Signal listeners and idle sockets of libraries would keep the process alive.
  process.exit(exitCode.OK)
}

/** Loads the settings, starts the role and runs it until it is stopped. */
export const run = async <Role extends settings.Role>(
  role: Role, file: string, start: (settings: settings.SettingsOf<Role>) => Promise<Running>
): Promise<number> => {
  const loaded = settings.load(role, file)
  if (loaded.kind === 'error') {
    for (const problem of loaded.error) output.printError(settings.format(problem))
    return exitCode.USAGE
  }
  return runUntilStopped(await start(loaded.value))
}
