import tap from 'tap'
import * as parseSettings from '@eelgrasswind/parse-settings'
import * as configState from './index.js'

const invalidDocument = `{
  "hosts": {
    "h1": { "region": "ncr", "availabilityZone": "a", "upstreams": [
      { "id": "e1", "type": "engine", "address": "http://10.0.0.1:81", "models": ["m", "x", "m"], "contextTokens": 9, "slots": 1, "cacheTokens": 1, "checksFencing": true },
      { "id": "e1", "type": "service", "address": "http://10.0.0.1:81", "service": "none", "slots": 1 }
    ] },
    "h2": { "region": "visayas", "availabilityZone": "a", "upstreams": [] }
  },
  "models": { "m": { "version": "1", "microCostPerPromptToken": 0.1, "microCostPerGeneratedToken": 1 } },
  "clients": {
    "c1": { "tokenSha256": "${'0'.repeat(64)}" },
    "c2": { "tokenSha256": "${'0'.repeat(64)}" }
  },
  "limits": { "snapshotMs": 50000000 }
}`

tap.test('errors between sections name the section, id and field at their position', async (t) => {
  const result = parseSettings.parseSettings(invalidDocument, configState.documentSchema, 'c')
  t.same(result.ok ? [] : parseSettings.formatSettingsErrors(result.failure).split('\n'), [
    'c:4:88: hosts.h1.upstreams[0].models[1]: expected a model of the section models, found "x"',
    'c:4:93: hosts.h1.upstreams[0].models[2]: expected each model once, found "m", which hosts.h1.upstreams[0].models[0] has',
    'c:5:15: hosts.h1.upstreams[1].id: expected an id that no other upstream has, found "e1", which hosts.h1.upstreams[0].id has',
    'c:5:51: hosts.h1.upstreams[1].address: expected an address that no other upstream has, found "http://10.0.0.1:81", which hosts.h1.upstreams[0].address has',
    'c:5:84: hosts.h1.upstreams[1].service: expected a service of the section services, found "none"',
    'c:7:23: hosts.h2.region: expected "ncr", the region of other hosts of its availability zone, found "visayas"',
    `c:12:28: clients.c2.tokenSha256: expected a token that no other client has, found "${'0'.repeat(64)}", which clients.c1.tokenSha256 has`,
    'c:14:29: limits.snapshotMs: expected at most 43200000, half of retentionMs, found 50000000'
  ])
})

tap.test('an address must be an IP address with a port', async (t) => {
  const validAddresses = ['http://10.0.0.1:80', 'http://[::1]:8080']
  const invalidAddresses = ['http://localhost:80', 'http://10.0.0.256:80', 'http://10.0.0.1', 'http://10.0.0.1:0', 'http://10.0.0.1:70000', 'https://10.0.0.1:80', 'http://10.0.0.1:80/x']
  t.same([...validAddresses, ...invalidAddresses].filter(configState.isAddress), validAddresses)
})

tap.test('only loopback addresses may be used by several hosts', async (t) => {
  const createHost = (id: string, address: string): unknown => ({ region: 'r', availabilityZone: 'z', upstreams: [{ id, type: 'service', address, service: 's', slots: 1 }] })
  const isValid = (address: string): boolean => configState.validateConfig({ services: { s: {} }, hosts: { a: createHost('a1', address), b: createHost('b1', address) } }).ok
  t.same([isValid('http://127.0.0.1:80'), isValid('http://[::1]:80'), isValid('http://10.0.0.1:80')], [true, true, false])
})

tap.test('an id equal to a property of every object is an ordinary id', async (t) => {
  const result = configState.validateConfig({ hosts: { h: { region: 'r', availabilityZone: 'z', upstreams: [{ id: 's', type: 'service', address: 'http://10.0.0.1:80', service: 'constructor', slots: 1 }] } } })
  t.match(result, { ok: false, failure: [{ path: ['hosts', 'h', 'upstreams', 0, 'service'], found: '"constructor"' }] })
})

tap.test('every field of the schema has a description, and every number a unit', async (t) => {
  const rows = parseSettings.describeSchema(configState.documentShape)
  t.same(rows.filter((row) => row.meaning === '').map((row) => row.field), [])
  t.same(rows.filter((row) => /^(integer|number)/.test(row.type) && row.unit === '' && row.field !== 'kinds.<id>.weight').map((row) => row.field), [])
})
