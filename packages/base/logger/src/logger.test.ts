import * as stream from 'node:stream'
import tap from 'tap'
import type * as types from '@eelgrasswind/types'
import * as logger from './logger.js'

const host = 'h1' as types.HostId

function captureLogger (level: logger.LogLevel): { log: logger.Logger, lines: () => Record<string, unknown>[], raw: () => string } {
  const sink = new stream.PassThrough()
  const log = logger.createLogger({ name: 'entry', host, level, stream: sink })
  let text = ''
  sink.on('data', (chunk: Buffer) => { text += chunk.toString() })
  const lines = (): Record<string, unknown>[] => text.split('\n').filter((line) => line !== '').map((line) => JSON.parse(line) as Record<string, unknown>)
  return { log, lines, raw: () => text }
}

tap.test('records of child loggers have their ids', async (t) => {
  const { log, lines } = captureLogger('info')
  const call = log.child({ program: 'p1' as types.ProgramId }).child({ call: 'k1' as types.RequestKey })
  call.info({ tokens: 3 }, 'done')
  log.info({}, 'plain')
  t.match(lines()[0], { name: 'entry', host: 'h1', program: 'p1', call: 'k1', tokens: 3, msg: 'done', level: 30 })
  t.notHas(lines()[1], { program: 'p1' })
})

tap.test('a record below the level is dropped', async (t) => {
  const { log, lines } = captureLogger('warn')
  log.info({}, 'dropped')
  log.error({}, 'kept')
  t.same(lines().map((line) => line['msg']), ['kept'])
})

tap.test('an error stays on one line with its stack and causes', async (t) => {
  const { log, lines, raw } = captureLogger('info')
  const cause = Object.assign(new Error('refused'), { code: 'ECONNREFUSED' })
  log.error({ err: new Error('call failed', { cause }) }, 'failed')
  t.equal(raw().trimEnd().split('\n').length, 1)
  t.match(lines()[0], { err: { name: 'Error', message: 'call failed', stack: /logger\.test/, cause: { code: 'ECONNREFUSED' } } })
})

tap.test('any thrown value can be logged', async (t) => {
  const { log, lines } = captureLogger('info')
  const selfCaused = new Error('loop')
  selfCaused.cause = selfCaused
  for (const err of ['text', null, undefined, 7, Symbol('s'), selfCaused]) log.error({ err }, 'failed')
  t.equal(lines().length, 6)
})

tap.test('the silent logger writes nothing', async (t) => {
  const silent = logger.createSilentLogger()
  t.equal(silent.child({ host }), silent)
  t.doesNotThrow(() => silent.error({ err: new Error('x') }, 'dropped'))
})
