import { expect } from 'chai'
import * as path from 'node:path'
import * as url from 'node:url'
import * as settings from './index.ts'

const examples = url.fileURLToPath(new URL('../../../examples', import.meta.url))
const roles: settings.Role[] = ['entry', 'agent', 'platform stand-in', 'backend stand-in']

const AGENT = `
worker = "waco-1"
failureDomain = "waco-floor"
slots = 8
resources = { cores = 8, memoryMb = 1024 }
backend = { url = "http://127.0.0.1:8070/run" }
platform = { url = "http://127.0.0.1:8090" }
links = { entries = ["127.0.0.1:8081"], key = "0123456789abcdef" }
`

const errorsOf = (role: settings.Role, text: string): settings.SettingError[] => {
  const result = settings.parse(role, text, 'some.toml')
  return result.kind === 'error' ? result.error : []
}

describe('settings', () => {
  it('accepts the sample file of every role', () => {
    for (const role of roles) {
      const result = settings.load(role, path.join(examples, `${role.replaceAll(' ', '-')}.toml`))
      expect(result.kind, JSON.stringify(result)).to.equal('ok')
    }
  })

  it('fills in defaults and reads keys from files', () => {
    const result = settings.load('agent', path.join(examples, 'agent.toml'))
    expect(result).to.have.nested.property('value.limits.orphanAfterMs', 900_000)
    expect(result).to.have.nested.property('value.links.key', 'only-for-trials-on-one-machine-links')
    expect(result).not.to.have.nested.property('value.links.keyFile')
  })

  // Reporting one error at a time would delay an operator who fixes a failing deployment.
  it('reports all errors at once with file, key, expected type and the nearest known key', () => {
    const text = `
      worker = 7
      slot = 8
      [resources]
      cores = "8"
      memoryMb = 1024
      [links]
      entries = ["nowhere"]
      kee = "0123456789abcdef"
      [limits]
      connections = 3
    `
    const lines = errorsOf('agent', text).map(settings.format).sort()
    expect(lines).to.deep.equal([
      'some.toml: backend.url: missing setting; expected URL that begins with http://',
      'some.toml: failureDomain: missing setting; expected text of 1 to 128 characters',
      'some.toml: limits.connections: unknown setting; did you mean backend.connections?',
      'some.toml: links.entries.0: wrong value: text; expected address as "host:port"',
      'some.toml: links.kee: unknown setting; did you mean links.key?',
      'some.toml: links.key: missing setting; expected text of at least 16 characters',
      'some.toml: platform.url: missing setting; expected URL that begins with http:// or https://',
      'some.toml: resources.cores: wrong value: text; expected number of at least 0',
      'some.toml: slot: unknown setting; did you mean slots?',
      'some.toml: slots: missing setting; expected integer of at least 1',
      'some.toml: worker: wrong value: number; expected text of 1 to 128 characters'
    ])
  })

  // A start beyond the connection limit would be refused although its slot was granted.
  it('refuses more slots than connections', () => {
    const lines = errorsOf('agent', AGENT.replace('slots = 8', 'slots = 65')).map(settings.format)
    expect(lines).to.deep.equal(['some.toml: slots: 65 is too many; expected at most backend.connections'])
  })

  it('reports the position of a syntax error, and a file that cannot be read', () => {
    const [error] = errorsOf('agent', 'slots = 8\nworker = waco-1')
    expect(error!.message).to.match(/in line 2, column \d+$/).and.not.to.include('waco-1')
    const missing = settings.load('agent', path.join(examples, 'absent.toml'))
    expect(missing).to.have.nested.property('error[0].message').that.matches(/cannot read the file: ENOENT/)
  })

  // A secret in an error message would end up in terminals and logs.
  it('never reports the value of a secret, and refuses one that is short, unreadable or given twice', () => {
    const key = '0123456789abcdef'
    const cases: [text: string, pattern: RegExp][] = [
      [AGENT.replace(key, 'short-key'), /links\.key: wrong value: text; expected text of at least 16 characters/],
      [AGENT.replace('key =', 'keyFile ='), /links\.keyFile: cannot read the file: ENOENT/],
      [AGENT.replace('key =', 'keyFile = "a", key ='), /links\.keyFile: set together with links\.key/]
    ]
    expect(errorsOf('agent', AGENT)).to.deep.equal([])
    for (const [text, pattern] of cases) {
      const lines = errorsOf('agent', text).map(settings.format)
      expect(lines).to.have.length(1)
      expect(lines[0]).to.match(pattern).and.not.to.match(/short-key/)
    }
  })
})
