import tap from 'tap'
import * as states from './signal-state.js'

function actionsOf (...events: readonly (states.HandledSignal | 'started')[]): string[] {
  let state = states.firstState
  return events.map((event) => {
    const step = event === 'started' ? states.onStarted(state) : states.onSignal(state, event)
    state = step.state
    return step.action.type
  })
}

// Guards against a process that is ended by a reload while it starts.
tap.test('a reload while the process starts is done once it has started', (t) => {
  t.same(actionsOf('SIGHUP', 'SIGHUP', 'started', 'SIGHUP'), ['none', 'none', 'reload', 'reload'])
  t.same(actionsOf('started'), ['none'])
  t.end()
})

// Guards against requests that are cut off by the second of two signals to end.
tap.test('signals in series end the process once', (t) => {
  t.same(actionsOf('started', 'SIGTERM', 'SIGTERM', 'SIGINT', 'SIGHUP'), ['none', 'end', 'ignore', 'ignore', 'ignore'])
  t.end()
})

tap.test('a process that serves nothing yet ends at once', (t) => {
  t.same(actionsOf('SIGHUP', 'SIGTERM'), ['none', 'exit'])
  t.end()
})
