/** Deterministic answers of the engine stand-in, worked out from a hash of the request. */
import * as crypto from 'node:crypto'

export interface PromptMessage {
  readonly role: string
  readonly content?: unknown
  readonly [member: string]: unknown
}

/** What an answer is worked out from. */
export interface Prompt {
  readonly model: string
  readonly messages: readonly PromptMessage[]
  readonly maxTokens: number
  /** Generate all tokens allowed; otherwise the hash decides where to stop. */
  readonly ignoreEnd: boolean
}

export interface AnswerText {
  /** One text a token; together the whole answer. */
  readonly tokens: readonly string[]
  readonly text: string
  readonly finishReason: 'stop' | 'length'
}

const words = ['league ', 'jersey ', 'roster ', 'size ', 'number ', 'coach ', 'school ', 'mentor ', 'opener ', 'team ', 'print ', 'order ', 'stock ', 'home ', 'away ', 'final ']
const charsPerToken = 4

/** Tokens that a message counts for. */
export function messageTokens (message: PromptMessage): number {
  return 1 + Math.ceil(JSON.stringify(message).length / charsPerToken)
}

/** Digest of what a message says, whatever the order of its members. */
export function messageDigest (message: PromptMessage): string {
  const members = Object.entries(message).filter(([, value]) => value !== undefined && value !== null)
  members.sort(([a], [b]) => a < b ? -1 : 1)
  return crypto.createHash('sha256').update(JSON.stringify(members)).digest('hex')
}

function seedOf (prompt: Prompt): number {
  const hash = crypto.createHash('sha256').update(prompt.model)
  for (const message of prompt.messages) hash.update(messageDigest(message))
  return hash.digest().readUInt32LE(0)
}

/** The next number of a xorshift generator; never 0. */
function next (state: number): number {
  let value = state === 0 ? 1 : state
  value ^= value << 13
  value ^= value >>> 17
  value ^= value << 5
  return value >>> 0
}

/** The answer to a prompt: always the same one. */
export function answerTo (prompt: Prompt): AnswerText {
  const seed = seedOf(prompt)
  const share = prompt.ignoreEnd ? 1 : 0.25 + 0.75 * (seed % 1000) / 1000
  const count = Math.max(1, Math.floor(prompt.maxTokens * share))
  const tokens: string[] = []
  let state = seed
  for (let i = 0; i < count; i += 1) {
    state = next(state)
    tokens.push(words[state % words.length]!)
  }
  return { tokens, text: tokens.join(''), finishReason: count < prompt.maxTokens ? 'stop' : 'length' }
}
