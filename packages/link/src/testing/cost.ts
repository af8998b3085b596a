import type * as messages from '@mustarddeck/messages'
import type * as types from '@mustarddeck/types'
import * as peers from './peers.ts'

// Measures CPU time and bytes per message of a link over loopback, with both ends in this process, for several batch
// sizes (messages queued in one turn of the event loop). The variable MESSAGES sets the number of messages per size.

const total = Number(process.env['MESSAGES'] ?? 50_000)

const job = 'f3a91c02bb7e4d51.r12.3.4711' as types.JobId
const samples: Record<string, messages.Message> = {
  start: {
    kind: 'start',
    job,
    index: 7,
    attempt: 1,
    total: 20,
    digest: 'd'.repeat(64) as types.Digest,
    name: 'sheet-0007' as types.TaskName,
    type: 'pin-out-sheet' as types.TaskTypeName,
    payload: { harness: 'BW-2207', connector: 'J4', pins: [1, 2, 3, 4, 5, 6, 7, 8] },
    limitMs: 3000,
    resources: { cores: 1, memoryMb: 512, accelerators: 0 }
  },
  finished: {
    kind: 'finished',
    job,
    index: 7,
    attempt: 1,
    outcome: { kind: 'finished', result: { sheet: 'BW-2207-J4', ok: true }, runMs: 212.75 },
    renewed: true
  }
}

const entry = peers.create('entry')
const agent = peers.create('agent')
entry.links.dial(await agent.links.listen(peers.LOCALHOST, 0))
const { link } = await entry.next('up')

const measure = async (message: messages.Message, batch: number): Promise<string> => {
  let received = 0
  let onBatch: () => void = () => {}
  agent.onMessage(() => {
    agent.events.length = 0
    if (++received % batch === 0) onBatch()
  })
  const before = { cpu: process.cpuUsage(), bytes: entry.links.counts().sent.bytes }
  for (let sent = 0; sent < total; sent += batch) {
    const arrived = new Promise<void>((resolve) => { onBatch = resolve })
    for (let index = 0; index < batch; index++) entry.links.send(link, message)
    await arrived
  }
  const { user, system } = process.cpuUsage(before.cpu)
  const bytes = entry.links.counts().sent.bytes - before.bytes
  return `${((user + system) / received).toFixed(1)} us, ${(bytes / received).toFixed(0)} bytes per message`
}
for (const [name, message] of Object.entries(samples)) {
  await measure(message, 10)
  for (const batch of [1, 10, 100]) {
    process.stdout.write(`${name}, ${batch} per turn: ${await measure(message, batch)}\n`)
  }
}
process.exit(0)
