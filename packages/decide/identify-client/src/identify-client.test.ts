import tap from 'tap'
import * as fc from 'fast-check'
import type * as routeRequest from '@eelgrasswind/route-request'
import type * as types from '@eelgrasswind/types'
import * as accountDirectory from './account-directory.js'
import * as identify from './identify.js'

function createAccount (name: string, ...keys: string[]): routeRequest.ClientAccount {
  return { name: name as types.AccountId, keys, limit: undefined }
}

const directory = accountDirectory.createAccountDirectory([createAccount('coaches', 'k-1', 'k-2'), createAccount('leagues', 'k-3')])
const privateRoute = { isPublic: false }
const publicRoute = { isPublic: true }

tap.test('each key of an account identifies it', (t) => {
  for (const [key, name] of [['k-1', 'coaches'], ['k-2', 'coaches'], ['k-3', 'leagues']] as const) {
    t.same(identify.identifyCaller(directory, privateRoute, { type: 'key', key }), { type: 'caller', caller: { type: 'account', account: name } })
  }
  t.end()
})

tap.test('without a known key only public routes are accessible', (t) => {
  const presented: identify.PresentedKey[] = [{ type: 'none' }, { type: 'unreadable' }, { type: 'key', key: 'k-4' }, { type: 'key', key: '' }, { type: 'key', key: 'K-1' }]
  for (const key of presented) {
    t.same(identify.identifyCaller(directory, privateRoute, key), { type: 'unknownKey' }, JSON.stringify(key))
    t.same(identify.identifyCaller(directory, publicRoute, key), { type: 'caller', caller: { type: 'anonymous' } }, JSON.stringify(key))
  }
  t.end()
})

tap.test('a configuration without accounts requires no key, one with an empty list refuses all keys', (t) => {
  const none = accountDirectory.createAccountDirectory(undefined)
  t.same(identify.identifyCaller(none, privateRoute, { type: 'key', key: 'k-1' }), { type: 'caller', caller: { type: 'anyone' } })
  const empty = accountDirectory.createAccountDirectory([])
  t.same(identify.identifyCaller(empty, privateRoute, { type: 'key', key: 'k-1' }), { type: 'unknownKey' })
  t.end()
})

tap.test('accounts that share a key or a name are rejected, and the error does not contain the key', (t) => {
  t.throws(() => accountDirectory.createAccountDirectory([createAccount('a', 'secret-1'), createAccount('b', 'x', 'secret-1')]), /account b: keys\.1/)
  t.throws(() => accountDirectory.createAccountDirectory([createAccount('a', 'x'), createAccount('a', 'y')]), /account a: name/)
  t.doesNotThrow(() => accountDirectory.createAccountDirectory([createAccount('a', 'x', 'x')]))
  try {
    accountDirectory.createAccountDirectory([createAccount('a', 'secret-1'), createAccount('b', 'secret-1')])
  } catch (err) {
    t.notMatch(String((err as Error).stack), /secret-1/)
  }
  t.end()
})

tap.test('internal program ids of two accounts never collide', (t) => {
  const word = fc.stringMatching(/^[a-z/:@ ]{0,6}$/)
  fc.assert(fc.property(word, word, word, word, (a, p, b, q) => {
    const first = identify.scopeProgramId({ type: 'account', account: a as types.AccountId }, p as types.ProgramId)
    const second = identify.scopeProgramId({ type: 'account', account: b as types.AccountId }, q as types.ProgramId)
    return (first === second) === (a === b && p === q)
  }), { seed: 7, numRuns: 2_000 })
  t.end()
})
