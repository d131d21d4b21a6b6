import tap from 'tap'
import * as heldAnswers from './held-answers.js'

const megabyte = 1_048_576

// Guards against a process that ends for lack of memory because many large answers are held at once.
tap.test('large answers are held up to a total, ordinary ones always', (t) => {
  const all = new heldAnswers.HeldAnswers()
  const large = Array.from({ length: 32 }, () => all.hold())
  for (const answer of large) t.ok(answer.tryAdd(megabyte))
  const late = all.hold()
  t.notOk(late.tryAdd(megabyte), 'nothing is left for another large one')
  t.ok(late.tryAdd(1_000), 'but for an ordinary one')
  large[0]!.release()
  t.ok(late.tryAdd(megabyte / 2))
  late.release()
  late.release()
  t.ok(all.hold().tryAdd(megabyte), 'released once')
  t.end()
})
