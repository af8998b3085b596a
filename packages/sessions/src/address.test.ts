import { expect } from 'chai'
import * as sessions from './index.ts'

const MALFORMED = [
  '', ':', ':80', '10.0.0.1', '10.0.0.1:', '10.0.0.1:0', '10.0.0.1:65536', '10.0.0.1:99999', '10.0.0.1:-1',
  '10.0.0.1:1e3', '10.0.0.1:080', '10.0.0.1:80 ', ' 10.0.0.1:80', '10.0.0.1:80/x', '10.0.0.999:80', '10.0.0:80',
  '10.0.0.0.1:80', '010.0.0.1:80', '0x7f.1:80', '1:80', '0.0.0.0:80', '[::1]:80', '::1:80', '-.:80', '.:80',
  'a..b:80', 'a b:80', 'a@b:80', 'xn--a:80', `${'a'.repeat(300)}:80`, 'ä:80', '10.0.0.1:80\n', '__proto__'
]

describe('addresses of peers', () => {
  it('name a host and a port', () => {
    expect(sessions.parseAddress('10.128.0.9:7720')).to.deep.equal({ host: '10.128.0.9', port: 7720 })
    expect(sessions.parseAddress('255.255.255.254:65535')).to.deep.equal({ host: '255.255.255.254', port: 65535 })
    expect(sessions.parseAddress('entry-1.khangai_a.example:1')).to.deep.equal({ host: 'entry-1.khangai_a.example', port: 1 })
  })

  for (const text of MALFORMED) {
    it(`are not ${JSON.stringify(text.slice(0, 30))}`, () => expect(sessions.parseAddress(text)).to.equal(undefined))
  }
})
