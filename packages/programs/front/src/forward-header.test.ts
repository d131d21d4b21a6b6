import tap from 'tap'
import * as forwardHeader from './forward-header.js'

// Guards against a forwarded turn without a deadline where the forwarding process is of another release.
tap.test('the time that a client has left is read from its trailer; without one, or with another value, it is unknown', (t) => {
  const [name, value] = forwardHeader.encodeRemaining(812.7) as [string, string]
  t.equal(forwardHeader.decodeRemaining({ [name]: value }), 812)
  t.equal(forwardHeader.decodeRemaining({}), undefined)
  t.equal(forwardHeader.decodeRemaining({ [name]: 'soon' }), undefined)
  t.same(forwardHeader.encodeRemaining(-3), [name, '0'])
  t.end()
})
