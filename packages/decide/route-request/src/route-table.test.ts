import * as assert from 'node:assert/strict'
import tap from 'tap'
import * as fc from 'fast-check'
import type * as types from '@eelgrasswind/types'
import * as routeTable from './route-table.js'
import type * as routing from './routing.js'

function createRoute (host: string, pathPrefix: string, targets: routing.Route['targets'] = []): routing.Route {
  return { name: `${host}${pathPrefix}`, host, pathPrefix, repeatability: 'idempotent', targets, timeoutMs: 1, objectiveMs: 1, rank: 0, maxAttempts: 1, stream: undefined, retain: undefined, isPublic: false }
}

tap.test('the longest prefix matches, regardless of the case and port of the host', (t) => {
  const table = routeTable.createRouteTable([createRoute('kits.example', '/a/'), createRoute('kits.example', '/a/b/'), createRoute('other.example', '/a/b/c/')])
  t.equal(table.find('KITS.example:8080', '/a/b/x?y=/a/')?.pathPrefix, '/a/b/')
  t.equal(table.find('kits.example', '/a/bb')?.pathPrefix, '/a/')
  t.equal(table.find('kits.example', '/a'), undefined, 'a prefix ends with its slash')
  t.equal(table.find('kits.example', '/x?/a/b/'), undefined, 'the query is not part of the path')
  t.equal(table.find('nobody.example', '/a/b/'), undefined)
  t.end()
})

tap.test('find returns the same route as a linear search', (t) => {
  const prefix = fc.array(fc.constantFrom('a', 'b', 'ab'), { maxLength: 4 }).map((words) => `/${words.map((word) => `${word}/`).join('')}`)
  fc.assert(fc.property(fc.uniqueArray(prefix, { maxLength: 12 }), prefix, fc.constantFrom('', 'a', 'x'), (prefixes, basePath, suffix) => {
    const routes = prefixes.map((pathPrefix) => createRoute('h', pathPrefix))
    const path = basePath + suffix
    const expected = routes.filter(({ pathPrefix }) => path.startsWith(pathPrefix)).sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)[0]
    assert.equal(routeTable.createRouteTable(routes).find('h', path), expected)
  }), { seed: 3, numRuns: 500 })
  t.end()
})

tap.test('services are selected by weight', (t) => {
  const targets = [{ service: 'old' as types.ServiceId, weight: 90 }, { service: 'new' as types.ServiceId, weight: 10 }]
  const chooseWith = (random: number): string | undefined => routeTable.chooseService(createRoute('h', '/', targets), () => random)
  t.same([0, 0.89, 0.9, 0.999].map(chooseWith), ['old', 'old', 'new', 'new'])
  t.equal(routeTable.chooseService(createRoute('h', '/'), () => 0), undefined)
  t.end()
})
