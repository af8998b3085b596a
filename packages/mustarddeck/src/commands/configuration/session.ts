import * as crypto from 'node:crypto'
import * as clock from '@mustarddeck/clock'
import * as configuration from '@mustarddeck/configuration'
import * as platform from '@mustarddeck/platform'
import * as random from '@mustarddeck/random'

const MAX_SEED = 2 ** 31

/** Access to the published versions for the duration of one command. */
export interface Session {
  store: configuration.Store
  publisher: configuration.Publisher
  close (): void
}

/** Opens a session on the platform at this URL; the caller closes it. */
export const open = (url: string): Session => {
  const client = platform.createClient({ url })
  const retry = { timers: clock.createSystem(), random: random.create(crypto.randomInt(MAX_SEED)) }
  return {
    store: configuration.createStore(client),
    publisher: configuration.createPublisher({ ...client, retry }),
    close: client.close
  }
}

/** Runs the action with a new session and closes the session afterwards, also if the action throws. */
export const withSession = async <Value>(url: string, action: (session: Session) => Promise<Value>): Promise<Value> => {
  const session = open(url)
  try {
    return await action(session)
  } finally {
    session.close()
  }
}
