import tap from 'tap'
import * as boundedMap from './index.js'

tap.test('the entry that was set longest ago is evicted first', (t) => {
  const map = new boundedMap.BoundedMap<string, number>(2)
  map.set('a', 1)
  map.set('b', 2)
  t.equal(map.set('a', 3), undefined, 'setting a key again makes it the newest')
  t.equal(map.set('c', 4), 2)
  t.same([map.size, map.has('b'), map.get('a'), map.get('c')], [2, false, 3, 4])
  t.end()
})

tap.test('a deleted entry makes room', (t) => {
  const map = new boundedMap.BoundedMap<string, number>(1)
  map.set('a', 1)
  map.delete('a')
  t.equal(map.set('b', 2), undefined)
  t.same([...map.values()], [2])
  t.end()
})
