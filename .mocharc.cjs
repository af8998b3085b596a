const fs = require('node:fs')
const path = require('node:path')

// Tests that fail because of a known fault are listed in KNOWN-RED.txt, each with a line `test: <full title>`.
// They are passed over and printed; everything else must pass.
const KNOWN_RED = path.join(__dirname, 'KNOWN-RED.txt')

const readTitles = () => {
  if (!fs.existsSync(KNOWN_RED)) return []
  const lines = fs.readFileSync(KNOWN_RED, 'utf8').split('\n')
  return lines.filter((line) => line.startsWith('test: ')).map((line) => line.slice('test: '.length).trim())
}

const escape = (text) => text.replace(/[.*+?^${}()|[\]\\]/g, '\\$&')

// A filter on the command line chooses the tests by itself, so that a listed test can be run alone.
const hasFilter = process.argv.some((argument) => /^(-g|-f|--grep|--fgrep)/.test(argument))
const titles = hasFilter ? [] : readTitles()
for (const title of titles) process.stderr.write(`known red, not run: ${title}\n`)

module.exports = {
  import: 'tsx',
  spec: ['packages/*/src/**/*.test.ts', 'platform/src/**/*.test.ts'],
  timeout: 30000,
  forbidOnly: true,
  forbidPending: true,
  ...(titles.length > 0 && { grep: `^(?:${titles.map(escape).join('|')})$`, invert: true })
}
