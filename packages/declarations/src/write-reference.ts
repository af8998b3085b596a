import * as fs from 'node:fs'
import * as reference from './reference.ts'

fs.writeFileSync(new URL('../../../docs/configuration-reference.md', import.meta.url), reference.render())
