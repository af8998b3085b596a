import * as fs from 'node:fs'
import * as openapi from '../packages/entry/src/http/openapi.ts'

// Writes docs/openapi.json, which a test compares with the running server.
fs.writeFileSync(new URL('../docs/openapi.json', import.meta.url), `${JSON.stringify(openapi.document(), null, 2)}\n`)
