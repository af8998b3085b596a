import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as clock from '@mustarddeck/clock'
import type * as entry from '@mustarddeck/entry'
import * as errors from '@mustarddeck/errors'
import * as platform from '@mustarddeck/platform'
import * as standIn from '@mustarddeck/platform-stand-in'
import { expect } from 'chai'
import yargs from 'yargs'
import * as exitCode from '../../exit-code.ts'
import * as apply from './apply.ts'
import * as check from './check.ts'
import * as diff from './diff.ts'
import * as history from './history.ts'
import * as inForce from './in-force.ts'
import * as commands from './index.ts'
import type * as reports from './report.ts'
import * as show from './show.ts'

const EXAMPLE = new URL('../../../../../examples/benchdesk', import.meta.url).pathname

describe('configuration commands', () => {
  let server: standIn.StandIn
  let directory: string

  const defaults = { dryRun: false, wait: false, waitLimitMs: 0, operator: 'ana' }
  const run = (overrides: Partial<apply.Options> = {}): Promise<reports.Report> =>
    apply.apply({ ...defaults, platform: server.url, directory, ...overrides })
  /** Replaces text in one file of the declarations directory. */
  const edit = (file: string, from: string, to: string): void => {
    const name = path.join(directory, file)
    const text = fs.readFileSync(name, 'utf8')
    expect(text).to.include(from)
    fs.writeFileSync(name, text.replace(from, to))
  }

  beforeEach(async () => {
    server = await standIn.start({ timers: clock.createSystem({ keepAlive: false }) })
    directory = fs.mkdtempSync(path.join(os.tmpdir(), 'mustarddeck-'))
    fs.cpSync(EXAMPLE, directory, { recursive: true })
  })
  afterEach(async () => {
    await server.stop()
    fs.rmSync(directory, { recursive: true })
  })

  it('validates declarations and lists problems as text and as JSON', async () => {
    expect((await check.check({ directory })).code).to.equal(exitCode.OK)
    edit('tasks.toml', 'timeLimitMs = 4_000', 'timeLimitMs = 400_000\ntimelimit = 1')
    const report = await check.check({ directory })
    const file = path.join(directory, 'tasks.toml')
    expect([report.code, report.problems]).to.deep.equal([exitCode.FAILED, [
      `${file}: task-type/wiring-check timelimit: unknown field; did you mean timeLimitMs?`
    ]])
    expect(report.json).to.deep.equal({
      ok: false,
      error: {
        kind: 'invalid',
        problems: [{
          file, object: 'task-type/wiring-check', field: 'timelimit', message: 'unknown field', suggestion: 'timeLimitMs'
        }]
      }
    })
    expect((await check.check({ directory: `${directory}/none` })).code).to.equal(exitCode.FAILED)
    expect((await run()).code, 'an invalid set is not published').to.equal(exitCode.FAILED)
    expect(await server.memory.table.list('')).to.deep.equal(errors.ok([]))
  })

  it('publishes changes, lists versions and shows objects', async () => {
    expect((await run({ dryRun: true })).lines.at(-1)).to.match(/^\d+ objects would change$/)
    expect(await server.memory.table.list('')).to.deep.equal(errors.ok([]))
    expect((await run({ note: 'start' })).lines.at(-1)).to.match(/^published as version 1; change /)
    expect((await run()).lines).to.deep.equal(['no change to version 1'])
    edit('teams.toml', 'maxRunning = 32', 'maxRunning = 24')
    expect((await diff.diff({ directory, platform: server.url })).lines).to.deep.equal(
      ['~ team/engineering', '    maxRunning: 32 -> 24', '1 object would change'])
    await run({ note: 'less rework' })
    const versions = await history.history({ platform: server.url, limit: 10 })
    expect(versions.lines.length).to.equal(2)
    expect(versions.lines[0]).to.match(/^2 .* ana {2}1 changed: team\/engineering .* less rework$/)
    const shown = async (at?: number) =>
      (await show.show({ platform: server.url, object: 'team/engineering', at })).lines.join('\n')
    expect(await shown()).to.include('maxRunning = 24')
    expect(await shown(1)).to.include('maxRunning = 32')
    for (const missing of [{ object: 'team/none' }, { at: 9 }]) {
      expect((await show.show({ platform: server.url, ...missing })).code).to.equal(exitCode.FAILED)
    }
  })

  it('rejects a conflict with a later version and merges other changes', async () => {
    await run()
    edit('teams.toml', 'maxRunning = 32', 'maxRunning = 24')
    await run()
    edit('teams.toml', 'maxRunning = 24', 'maxRunning = 16')
    const clash = await run({ base: 1 })
    expect([clash.code, clash.problems]).to.deep.equal(
      [exitCode.FAILED, ['conflict with version 2, nothing was published: team/engineering']])
    edit('teams.toml', 'maxRunning = 16', 'maxRunning = 32')
    edit('tasks.toml', 'rank = 2', 'rank = 3')
    expect((await run({ base: 1 })).lines.at(-1)).to.include('published as version 3, merged with later changes')
    expect((await show.show({ platform: server.url, object: 'team/engineering' })).lines.join('\n'))
      .to.include('maxRunning = 24')
  })

  it('exits with 1 and reports an outage of the store', async () => {
    server.memory.faults.down = true
    for (const report of [
      await run(), await history.history({ platform: server.url, limit: 1 }), await show.show({ platform: server.url })
    ]) {
      expect(report.code).to.equal(exitCode.FAILED)
      expect(report.problems?.[0]).to.include('the store is not available')
    }
  })

  // A write may have succeeded although its response was lost, so "nothing was published" could be false.
  it('reports that the change may have been published when the store does not respond', async () => {
    const { memory } = server
    const failStoreOncePublished = async (): Promise<void> => {
      const row = await memory.table.read('configuration/current')
      if (row.kind === 'ok' && row.value) memory.faults.down = true
    }
    const { table } = memory
    const transact = table.transact
    table.transact = async (transaction) => {
      const result = await transact(transaction)
      await failStoreOncePublished()
      return memory.faults.down ? errors.error({ kind: 'uncertain', message: 'lost' }) : result
    }
    const report = await run()
    expect(report.code).to.equal(exitCode.FAILED)
    expect(report.problems?.[0]).to.include('the change may have been published; see mustarddeck history')
    table.transact = transact
    memory.faults.down = false
    expect((await run()).lines).to.deep.equal(['no change to version 1'])
  })

  it('passes options and returns the exit code through yargs', async () => {
    const codes: number[] = []
    const parse = async (...args: string[]): Promise<void> => {
      const parser = yargs(args).exitProcess(false).version(false).strict()
        .fail((message) => { throw new Error(message) })
      for (const command of commands.all((code) => codes.push(code))) parser.command(command)
      await parser.parseAsync()
    }
    await parse('check', directory)
    await parse('apply', directory, '--platform', server.url, '--operator', 'ben')
    await parse('apply', directory, '--platform', server.url, '--wait')
    expect(codes).to.deep.equal([exitCode.OK, exitCode.OK, exitCode.USAGE])
    const row = await server.memory.table.read('configuration/current')
    expect(row.kind === 'ok' && row.value?.value).to.include({ operator: 'ben', version: 1 })
  })
})

describe('waiting for a version to be in force', () => {
  it('polls until each entry has the version, and names those that lag behind', async () => {
    const timers = clock.createVirtual()
    const statusWithVersion = (versionOf: () => number): inForce.ReadStatus => async () => errors.ok({
      name: 'entry-1', configuration: 7, entries: [{ name: 'entry-2', configuration: versionOf() }]
    } as unknown as entry.Status)
    const wait = (read: inForce.ReadStatus): Promise<string[]> =>
      platform.drive(timers, inForce.waitUntilInForce({ version: 7, urls: ['http://a'], read, timers, limitMs: 2000 }))
    expect(await wait(statusWithVersion(() => timers.monotonic() > 1000 ? 7 : 6))).to.deep.equal([])
    expect(await wait(statusWithVersion(() => 6))).to.deep.equal(['entry-2 has version 6'])
    expect(await wait(async () => errors.error('refused'))).to.deep.equal(['http://a: refused'])
  })
})
