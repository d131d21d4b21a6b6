'use strict'
/** Writes what a run sent, got and saw, and ends all that it started. */
const fs = require('node:fs')
const os = require('node:os')
const path = require('node:path')

/** Lines of `record.txt` in the folder of a case. */
class RunRecord {
  constructor (caseDir) {
    this.file = path.join(caseDir, 'record.txt')
    this.startedAt = Date.now()
    fs.writeFileSync(this.file, '')
  }

  line (text) {
    fs.appendFileSync(this.file, `${((Date.now() - this.startedAt) / 1000).toFixed(3).padStart(8)} ${text}\n`)
  }
}

/**
 * Runs a case: `play` gets the record, a temporary folder and a list of functions that end what it started, and resolves
 * with whether the rule was broken. Exits with 1 if it was, 0 if it held, 2 if the case could not run.
 */
function runCase (caseDir, play, limitMs = 115000) {
  const record = new RunRecord(caseDir)
  const dir = fs.mkdtempSync(path.join(os.tmpdir(), 'eelgrasswind-review-'))
  const cleanUps = []
  const finish = async (code, text) => {
    record.line(text)
    for (const end of cleanUps.reverse()) {
      try {
        await end()
      } catch (err) {
        record.line(`could not end: ${err.message}`)
      }
    }
    if (process.env.KEEP_LOGS === undefined) fs.rmSync(dir, { recursive: true, force: true })
    process.stdout.write(`${text}\n`)
    process.exit(code)
  }
  setTimeout(() => { finish(2, 'the case took too long') }, limitMs).unref()
  for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => { finish(2, `ended by ${signal}`) })
  const hasTrouble = process.env.TROUBLE !== '0'
  play({ record, dir, cleanUps, hasTrouble }).then(
    ({ isBroken, text }) => finish(isBroken ? 1 : 0, `${isBroken ? 'BROKEN' : 'held'}: ${text}`),
    (err) => finish(2, `could not run: ${err.stack}`)
  )
}

module.exports = { runCase }
