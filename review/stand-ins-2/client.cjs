'use strict'
/** Clients of the fronts, as the pages describe them. */
const http = require('node:http')

const sleep = (ms) => new Promise((resolve) => { setTimeout(resolve, ms) })

/**
 * Sends one attempt on a new connection. Resolves with its status, body, and how it ended: `whole`, `broken`, `none` (no
 * head), or `left` once `waitMs` has passed without an end.
 */
function send (port, { method = 'POST', path, host = 'site.example', headers = {}, body = '', waitMs = 10000, gapMs = Infinity }) {
  const startedAt = performance.now()
  return new Promise((resolve) => {
    const answer = { status: 0, headers: {}, body: '', end: 'none', tookMs: 0, eventsAt: [] }
    let gapTimer
    const finish = (end) => {
      clearTimeout(timer)
      clearTimeout(gapTimer)
      answer.end = end
      answer.tookMs = Math.round(performance.now() - startedAt)
      resolve(answer)
      req.destroy()
    }
    const restartGap = () => {
      clearTimeout(gapTimer)
      if (gapMs < Infinity) gapTimer = setTimeout(() => { finish('left') }, gapMs)
    }
    const timer = setTimeout(() => { finish('left') }, waitMs)
    const req = http.request({ host: '127.0.0.1', port, method, path, agent: false, headers: { Host: host, ...headers, ...(method === 'POST' ? { 'Content-Length': Buffer.byteLength(body) } : {}) } }, (res) => {
      answer.status = res.statusCode
      answer.headers = res.headers
      restartGap()
      res.on('data', (chunk) => {
        answer.body += chunk
        answer.eventsAt.push(Math.round(performance.now() - startedAt))
        restartGap()
      })
      res.on('end', () => { finish(res.complete ? 'whole' : 'broken') })
      res.on('error', () => { finish('broken') })
    })
    req.on('error', () => { finish(answer.status === 0 ? 'none' : 'broken') })
    restartGap()
    req.end(body)
  })
}

/** Headers of a turn. */
function turnHeaders ({ id, program, previous, budget = 2000, maxTokens = 20, deadlineMs = 3000, promptTokens = 100 }) {
  return {
    'X-Request-Id': id,
    'X-Program-Id': program,
    'X-Session-Id': `${program}-main`,
    'X-Finish-Ms': '30000',
    'X-Model': 'm',
    'X-Deadline-Ms': String(deadlineMs),
    'X-Token-Count': `${promptTokens},${maxTokens}`,
    'X-Token-Budget': String(budget),
    ...(previous === undefined ? {} : { 'X-Previous-Turn': previous })
  }
}

module.exports = { send, turnHeaders, sleep }
