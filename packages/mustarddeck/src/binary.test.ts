import * as childProcess from 'node:child_process'
import * as path from 'node:path'
import * as url from 'node:url'
import * as util from 'node:util'
import { expect } from 'chai'
import * as exitCode from './exit-code.ts'
import * as processes from './testing/processes.ts'

const execute = util.promisify(childProcess.execFile)

const ROOT = url.fileURLToPath(new URL('../../..', import.meta.url))
const BINARY = path.join(ROOT, 'dist', 'mustarddeck')
const JOB = ['--team', 'depots', '--type', 'weigh-in']

// Guards against files that the source tree has on disk but the bundle lacks: runs the built executable itself.
describe('built executable', function () {
  this.timeout(120_000)
  let deployment: processes.Deployment

  before(() => execute('npm', ['run', 'build'], { cwd: ROOT }))
  beforeEach(() => { deployment = processes.deploy([BINARY]) })
  afterEach(() => deployment.stop())

  /** Runs a command until it exits. */
  const run = async (args: string[], environment?: Record<string, string>) => {
    const command = processes.run(args, [BINARY], environment)
    return { code: await command.exited, text: command.output() }
  }

  it('applies declarations, runs jobs, reports status and drains with separate processes', async () => {
    const platform = await deployment.startPlatform()
    const backend = await deployment.startBackend({ runMs: 20 })
    const entry = await deployment.startEntry('entry-1', [])
    const agents = [
      await deployment.startAgent('worker-1', [entry.address], backend),
      await deployment.startAgent('worker-2', [entry.address], backend)
    ]
    const applied = await run(['apply', path.join(ROOT, 'examples', 'corkbook'), '--platform', platform])
    expect(applied.code, applied.text).to.equal(exitCode.OK)
    await deployment.ready(entry, agents.length)

    const environment = { MUSTARDDECK_ENTRY: entry.url, MUSTARDDECK_TOKEN: processes.TOKEN }
    const submitted = await run(['submit', ...JOB, '--task', 'left={"kg":412}', '--task', 'right=7'], environment)
    expect(submitted.code, submitted.text).to.equal(exitCode.OK)
    const outcome = JSON.parse(submitted.text) as { kind: string, job: string, results: { name: string }[] }
    expect([outcome.kind, outcome.results.map(({ name }) => name)]).to.deep.equal(['complete', ['left', 'right']])
    const cancelled = await run(['cancel', outcome.job], environment)
    expect([cancelled.code, JSON.parse(cancelled.text)]).to.deep.equal([exitCode.FAILED, outcome])

    const status = await run(['status', '--json'], environment)
    expect(JSON.parse(status.text)).to.have.nested.property('[0].agents').with.length(agents.length)
    expect((await run(['status'], environment)).text).to.match(/worker-1 .*agent .*yes/)

    const drained = await run(['drain', 'worker-1', '--policy', 'counter'], environment)
    expect(drained.code, drained.text).to.equal(exitCode.OK)
    expect(await agents[0]!.exited, agents[0]!.output()).to.equal(exitCode.OK)
    expect((await run(['drain', 'worker-1', '--policy', 'counter'], environment)).code).to.equal(exitCode.FAILED)
    expect((await run(['drain', 'entry-1', '--policy', 'none'], environment)).code).to.equal(exitCode.FAILED)
    expect((await run(['submit', ...JOB, '--task', 'a=1'], environment)).code).to.equal(exitCode.OK)
    expect((await run(['drain', 'entry-1', '--policy', 'counter'], environment)).code).to.equal(exitCode.OK)
    expect(await entry.process.exited, entry.process.output()).to.equal(exitCode.OK)
  })

  it('runs a local deployment whose printed curl command succeeds, and stops it on SIGINT', async () => {
    for (const sample of ['corkbook', 'benchdesk']) {
      const local = processes.run(['local', '--sample', sample], [BINARY])
      const line = await local.line(/^curl /)
      const { stdout } = await execute('bash', ['-c', line])
      expect(JSON.parse(stdout)).to.have.property('kind', 'complete')
      local.kill('SIGINT')
      expect(await local.exited, local.output()).to.equal(exitCode.OK)
    }
  })

  it('exits with 2 and lists all errors on invalid settings or usage', async () => {
    for (const role of [['entry'], ['agent'], ['platform', 'stand-in'], ['backend', 'stand-in']]) {
      const started = deployment.start(role, { nonsense: 1, log: { level: 'loud' } })
      expect(await started.exited).to.equal(exitCode.USAGE)
      expect(started.output()).to.match(/nonsense: unknown setting/).and.match(/log\.level: wrong value/)
    }
    const usages = [
      [], ['nonsense'], ['entry'], ['platform'], ['submit', '--entry', 'http://x', '--task', 'a'], ['status'],
      ['cancel', 'x', '--entry', 'http://x'], ['local', '--sample', 'other']
    ]
    for (const usage of usages) expect((await run(usage)).code, usage.join(' ')).to.equal(exitCode.USAGE)
  })
})
