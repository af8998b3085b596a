import * as cli from './cli.ts'

cli.run(process.argv.slice(2)).then((code) => { process.exitCode = code })
