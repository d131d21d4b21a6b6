'use strict'
/** An agent program: sends turns with the headers of the protocol page's example. */
const { sendAttempt, sendWithRetries, newId } = require('./client.cjs')
const { routeHost } = require('./site.cjs')

/** Most tokens of one turn, and tokens of one event. */
const maxTokens = 135
const eventTokens = 5

class Program {
  constructor (site, name, budgetTokens, finishMs = 30_000) {
    this.site = site
    this.name = name
    this.id = newId().slice(0, 6)
    this.session = newId().slice(0, 6)
    this.budgetTokens = budgetTokens
    this.finishAt = Date.now() + finishMs
    /** Tokens handed to the client in all attempts. */
    this.tokens = 0
  }

  /** Describes one attempt at a turn that continues from `previous`, the id of an earlier turn. */
  createAttempt (address, previous, { body = `${this.name} asks;`, deadlineMs = 3_000, onEvent, gapMs } = {}) {
    const headers = { 'X-Program-Id': this.id, 'X-Session-Id': this.session, 'X-Finish-Ms': Math.max(0, this.finishAt - Date.now()), 'X-Token-Budget': this.budgetTokens, 'X-Model': 'm', 'X-Token-Count': `1840,${maxTokens}` }
    if (previous !== undefined) headers['X-Previous-Turn'] = previous
    return { address, host: routeHost, path: '/turn/4b', headers, body, deadlineMs, onEvent, gapMs }
  }

  note (result, previous) {
    this.tokens += result.events.length * eventTokens
    this.site.note(`turn ${result.id} of ${this.name} at ${result.address}, previous ${previous ?? 'none'}: ${result.status ?? 'no status'}, ${result.events.length} events, ${result.end}, after ${result.tookMs} ms${result.status !== undefined && result.status !== 200 ? ` ${result.body.slice(0, 120)}` : ''}`)
  }

  async sendOnce (address, previous, options) {
    const result = await sendAttempt(this.createAttempt(address, previous, options))
    this.note(result, previous)
    return result
  }

  /** Sends a turn through the addresses in turn, again after each 503. */
  async send (addresses, previous, options, tries = 8) {
    return sendWithRetries((attempt) => this.createAttempt(addresses[attempt % addresses.length], previous, options), tries, (result) => { this.note(result, previous) })
  }
}

module.exports = { Program, maxTokens, eventTokens }
