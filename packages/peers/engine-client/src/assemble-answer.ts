/** Puts the pieces of a streamed answer together and checks that they make one whole answer. */
import type * as types from '@eelgrasswind/types'
import type * as engineClient from './engine-client.js'

type Members = Readonly<Record<string, unknown>>

/** What is wrong with an answer. */
export type AnswerFault = 'notJson' | 'otherRequest' | 'noEnd' | 'noUsage'

export type Assembled =
  | { readonly type: 'whole', readonly answer: engineClient.EngineAnswer }
  | { readonly type: 'broken', readonly fault: AnswerFault }

export interface AnswerAssembly {
  /** Takes one event; true once the answer is whole or broken. */
  take: (data: string) => boolean
  result: () => Assembled
}

interface ToolCall {
  id: string | undefined
  type: string | undefined
  name: string
  arguments: string
}

const doneMark = '[DONE]'

function membersOf (value: unknown): Members | undefined {
  return typeof value === 'object' && value !== null ? value as Members : undefined
}

function parse (data: string): Members | undefined {
  try {
    return membersOf(JSON.parse(data))
  } catch {
    return undefined
  }
}

function countOf (value: unknown): number {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0 ? value : 0
}

function tokensOf (usage: Members): types.TokenCount {
  const details = membersOf(usage['prompt_tokens_details'])
  return {
    prompt: countOf(usage['prompt_tokens']),
    cached: countOf(details?.['cached_tokens']),
    generated: countOf(usage['completion_tokens'])
  }
}

/** Engines name an answer by the id of its request, some with a prefix. */
function isOwnId (id: unknown, requestId: string): boolean {
  return id === requestId || id === `chatcmpl-${requestId}`
}

export function createAnswerAssembly (requestId: string, onDelta: (text: string) => void): AnswerAssembly {
  const toolCalls: ToolCall[] = []
  let role = 'assistant'
  let content = ''
  let others: Members = {}
  let finishReason: string | undefined
  let tokens: types.TokenCount | undefined
  let done = false
  let fault: AnswerFault | undefined

  function addToolCall (piece: Members): void {
    const index = countOf(piece['index'])
    const called = membersOf(piece['function'])
    const call = toolCalls[index] ?? { id: undefined, type: undefined, name: '', arguments: '' }
    toolCalls[index] = call
    if (typeof piece['id'] === 'string') call.id = piece['id']
    if (typeof piece['type'] === 'string') call.type = piece['type']
    if (typeof called?.['name'] === 'string') call.name += called['name']
    if (typeof called?.['arguments'] === 'string') call.arguments += called['arguments']
  }

  function addDelta (delta: Members): void {
    const { role: newRole, content: text, tool_calls: calls, ...more } = delta
    if (typeof newRole === 'string') role = newRole
    if (Array.isArray(calls)) for (const piece of calls) addToolCall(membersOf(piece) ?? {})
    for (const [name, value] of Object.entries(more)) addOther(name, value)
    if (typeof text !== 'string' || text === '') return
    content += text
    onDelta(text)
  }

  /** Further text members, such as a reasoning text, come in pieces too. */
  function addOther (name: string, value: unknown): void {
    const before = others[name]
    others = { ...others, [name]: typeof before === 'string' && typeof value === 'string' ? before + value : value }
  }

  function addChoice (choice: Members): void {
    const delta = membersOf(choice['delta'])
    if (delta !== undefined) addDelta(delta)
    if (typeof choice['finish_reason'] === 'string') finishReason = choice['finish_reason']
  }

  function addChunk (chunk: Members): void {
    const choice = Array.isArray(chunk['choices']) ? membersOf(chunk['choices'][0]) : undefined
    const usage = membersOf(chunk['usage'])
    if (choice !== undefined) addChoice(choice)
    if (usage !== undefined) tokens = tokensOf(usage)
  }

  function take (data: string): boolean {
    if (done || fault !== undefined) return true
    if (data === doneMark) {
      done = true
      return true
    }
    const chunk = parse(data)
    if (chunk === undefined) fault = 'notJson'
    else if (!isOwnId(chunk['id'], requestId)) fault = 'otherRequest'
    else addChunk(chunk)
    return fault !== undefined
  }

  function message (): types.ChatMessage {
    const calls = toolCalls.map((call) => ({ id: call.id, type: call.type ?? 'function', function: { name: call.name, arguments: call.arguments } }))
    const text = content === '' && calls.length > 0 ? null : content
    return { ...others, role, content: text, ...(calls.length > 0 ? { tool_calls: calls } : {}) }
  }

  function result (): Assembled {
    if (fault !== undefined) return { type: 'broken', fault }
    if (!done || finishReason === undefined) return { type: 'broken', fault: 'noEnd' }
    if (tokens === undefined) return { type: 'broken', fault: 'noUsage' }
    return { type: 'whole', answer: { message: message(), finishReason, tokens } }
  }

  return { take, result }
}
