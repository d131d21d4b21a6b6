import * as fc from 'fast-check'
import tap from 'tap'
import * as z from 'zod'
import * as parseSettings from './index.js'

const engine = z.strictObject({
  type: z.literal('engine'),
  slots: z.number().int().min(1).max(64).meta({ description: 'Calls at once.', unit: 'calls' }),
  models: z.array(z.string().min(1)).min(1)
})
const service = z.strictObject({ type: z.literal('service'), path: z.string().regex(/^\//, 'a path that starts with /') })
const schema = z.strictObject({
  timeoutMs: z.number().positive().default(500).meta({ description: 'Time for an answer.', unit: 'ms' }),
  rule: z.enum(['slack', 'arrival']).optional().describe('Order of the queue.'),
  listen: z.union([z.string(), z.number()]).default(0),
  upstreams: z.record(z.string().regex(/^[a-z]/, 'an id that starts with a letter'), z.discriminatedUnion('type', [engine, service])).default({})
    .describe('Upstreams by id.')
})

function parseToMessages (text: string): string[] {
  const result = parseSettings.parseSettings(text, schema, 'x.jsonc')
  return result.ok ? [] : parseSettings.formatSettingsErrors(result.failure).split('\n')
}

tap.test('reads comments and trailing commas and fills in defaults', async (t) => {
  const result = parseSettings.parseSettings('{ // note\n "rule": "slack", /* b */ "upstreams": { "a": { "type": "service", "path": "/p" }, }, }', schema, 'x.jsonc')
  t.same(result, { ok: true, value: { timeoutMs: 500, listen: 0, rule: 'slack', upstreams: { a: { type: 'service', path: '/p' } } } })
})

tap.test('reports all errors with their positions, in order', async (t) => {
  const text = `{
  "timeoutMs": 0,
  "rulle": "slack",
  "rule": "slak",
  "listen": true,
  "upstreams": {
    "a": { "type": "engine", "slot": 2, "models": [] },
    "a": { "type": "engine", "slots": 1.5, "models": [3] },
    "b": { "type": "router" },
    "c": { "type": "service", "path": "p" },
    "9": { "type": "service", "path": "/" }
  }
}`
  t.same(parseToMessages(text), [
    'x.jsonc:2:16: timeoutMs: expected more than 0, found 0',
    'x.jsonc:3:3: rulle: expected one of the fields timeoutMs, rule, listen, upstreams, found the unknown field "rulle"; did you mean "rule"?',
    'x.jsonc:4:11: rule: expected one of "slack", "arrival", found "slak"',
    'x.jsonc:5:13: listen: expected a string or a number, found true',
    'x.jsonc:8:5: upstreams.a: expected each field once, found the field "a" again',
    'x.jsonc:8:39: upstreams.a.slots: expected an integer, found 1.5',
    'x.jsonc:8:55: upstreams.a.models[0]: expected a string, found 3',
    'x.jsonc:9:20: upstreams.b.type: expected one of "engine", "service", found "router"',
    'x.jsonc:10:39: upstreams.c.path: expected a path that starts with /, found "p"',
    'x.jsonc:11:10: upstreams.9: expected an id that starts with a letter, found the name "9"'
  ])
})

tap.test('a missing field is reported at the object that lacks it', async (t) => {
  t.same(parseToMessages('{ "upstreams": {\n  "a": { "type": "engine", "slot": 2, "models": [] } } }'), [
    'x.jsonc:2:8: upstreams.a.slots: expected integer from 1 to 64, found nothing',
    'x.jsonc:2:28: upstreams.a.slot: expected one of the fields type, slots, models, found the unknown field "slot"; did you mean "slots"?',
    'x.jsonc:2:49: upstreams.a.models: expected at least 1 item, found 0 items'
  ])
})

tap.test('syntax errors have positions', async (t) => {
  t.same(parseToMessages('{\r\n  "timeoutMs" 5\r\n}'), ['x.jsonc:2:15: document: expected a colon, found "5"'])
  t.same(parseToMessages(''), ['x.jsonc:1:1: document: expected a value, found the end of the file'])
  t.same(parseToMessages('{ "rule": "slack" '), ['x.jsonc:1:19: document: expected a closing brace, found the end of the file'])
  t.same(parseToMessages('[]'), ['x.jsonc:1:1: document: expected an object, found []'])
})

tap.test('a name that sets a prototype is an error', async (t) => {
  t.match(parseToMessages('{ "upstreams": { "__proto__": { "type": "service", "path": "/" } } }'), [/^x\.jsonc:1:18: upstreams\.__proto__:/])
})

tap.test('any JSON document is parsed unchanged, whatever comments are in it', async (t) => {
  const anything = z.json()
  fc.assert(fc.property(fc.jsonValue().filter((value) => !JSON.stringify(value).includes('__proto__')), (value) => {
    const text = JSON.stringify(value, null, 2).replaceAll('\n', ' // c\n')
    const result = parseSettings.parseSettings(`/* a */ ${text}`, anything, 'x')
    return result.ok && JSON.stringify(result.value) === JSON.stringify(value)
  }), { seed: 1, numRuns: 100 })
  t.pass('every document was parsed unchanged')
})

tap.test('describes fields with unit, default and meaning', async (t) => {
  const rows = parseSettings.describeSchema(schema)
  t.same(rows.map((row) => [row.field, row.type, row.unit, row.default, row.meaning]), [
    ['timeoutMs', 'number above 0', 'ms', '500', 'Time for an answer.'],
    ['rule', '"slack" or "arrival"', '', 'optional', 'Order of the queue.'],
    ['listen', 'string or number', '', '0', ''],
    ['upstreams', 'object by id', '', '{}', 'Upstreams by id.'],
    ['upstreams.<id>(type "engine").type', '"engine"', '', '', ''],
    ['upstreams.<id>(type "engine").slots', 'integer from 1 to 64', 'calls', '', 'Calls at once.'],
    ['upstreams.<id>(type "engine").models', 'array of string', '', '', ''],
    ['upstreams.<id>(type "service").type', '"service"', '', '', ''],
    ['upstreams.<id>(type "service").path', 'string', '', '', '']
  ])
  t.match(parseSettings.formatSettingRows(rows), '| `timeoutMs` | number above 0 | ms | `500` | Time for an answer. |')
})
