import { expect } from 'chai'
import * as metrics from './index.ts'

describe('metrics', () => {
  it('exports counters, and values read at export', async () => {
    const registry = metrics.create()
    const answers = registry.counter('mustarddeck_answers_total', 'Answers by outcome', ['outcome'])
    let links = 1
    registry.read('gauge', 'mustarddeck_links', 'Links that are up', () => links)
    registry.read('counter', 'mustarddeck_messages_total', 'Messages', () => [
      { labels: { kind: 'grant "x"\n' }, value: 7 }
    ])
    answers.add({ outcome: 'complete' })
    answers.add({ outcome: 'complete' }, 2)
    links = 5
    const { contentType, text } = await registry.export()
    expect(contentType).to.match(/^text\/plain; version=0\.0\.4/)
    expect(text).to.include('mustarddeck_answers_total{outcome="complete"} 3\n')
    expect(text).to.include('# TYPE mustarddeck_links gauge\nmustarddeck_links 5\n')
    expect(text).to.include('mustarddeck_messages_total{kind="grant \\"x\\"\\n"} 7\n')
    expect(text).to.match(/process_cpu_seconds_total [0-9.]+\n/)
  })

  it('exports response times as cumulative buckets and as quantiles within 1%', async () => {
    const registry = metrics.create()
    const times = registry.responseTimes('mustarddeck_task', 'Run time of tasks', 'type')
    for (let ms = 1; ms <= 1000; ms++) times.record(ms, 'pin-out')
    times.record(1e12, 'sign-off')
    const { text } = await registry.export()
    const value = (line: string): number => Number(text.split('\n').find((one) => one.startsWith(line))?.split(' ')[1])
    expect(text).to.include('# TYPE mustarddeck_task_seconds histogram\n')
    expect(value('mustarddeck_task_seconds_bucket{type="pin-out",le="0.1"}')).to.be.closeTo(100, 1)
    expect(value('mustarddeck_task_seconds_bucket{type="pin-out",le="1"}')).to.equal(1000)
    expect(value('mustarddeck_task_seconds_bucket{type="pin-out",le="+Inf"}')).to.equal(1000)
    expect(value('mustarddeck_task_seconds_count{type="pin-out"}')).to.equal(1000)
    expect(value('mustarddeck_task_seconds_sum{type="pin-out"}')).to.be.closeTo(500.5, 0.001)
    expect(value('mustarddeck_task_quantile_seconds{type="pin-out",quantile="0.99"}')).to.be.closeTo(0.99, 0.01)
    expect(value('mustarddeck_task_seconds_bucket{type="sign-off",le="60"}')).to.equal(0)
    expect(value('mustarddeck_task_seconds_bucket{type="sign-off",le="+Inf"}')).to.equal(1)
  })
})
