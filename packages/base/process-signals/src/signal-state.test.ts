import tap from 'tap'
import * as states from './signal-state.js'

function runEvents (...events: readonly (states.HandledSignal | 'started')[]): string[] {
  let state = states.initialState
  return events.map((event) => {
    const step = event === 'started' ? states.onStarted(state) : states.onSignal(state, event)
    state = step.state
    return step.action.type
  })
}

// Guards against SIGHUP during the start ending the process.
tap.test('a reload that is requested while the process starts is done once it has started', (t) => {
  t.same(runEvents('SIGHUP', 'SIGHUP', 'started', 'SIGHUP'), ['none', 'none', 'reload', 'reload'])
  t.same(runEvents('started'), ['none'])
  t.end()
})

// Guards against a second SIGTERM or SIGINT cutting off requests in flight.
tap.test('a series of signals shuts the process down once', (t) => {
  t.same(runEvents('started', 'SIGTERM', 'SIGTERM', 'SIGINT', 'SIGHUP'), ['none', 'end', 'ignore', 'ignore', 'ignore'])
  t.end()
})

tap.test('a process that does not serve yet exits at once', (t) => {
  t.same(runEvents('SIGHUP', 'SIGTERM'), ['none', 'exit'])
  t.end()
})
