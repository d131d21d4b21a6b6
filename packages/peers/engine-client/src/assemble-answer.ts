/** Assembles a streamed chat completion and checks that it is complete and belongs to its request. */
import type * as types from '@eelgrasswind/types'
import type * as engineClient from './engine-client.js'

type JsonObject = Readonly<Record<string, unknown>>

/** Why an answer is unusable: an event is not a JSON object, belongs to another request, or has a tool call out of range, or the end or the token usage is missing. */
export type AnswerFault = 'notJson' | 'otherRequest' | 'toolCallIndex' | 'noEnd' | 'noUsage'

/** Limit of the tool calls of an answer: an index determines the length of their list. */
const maxToolCalls = 1_024

export type AssemblyResult =
  | { readonly type: 'whole', readonly answer: engineClient.EngineAnswer }
  | { readonly type: 'broken', readonly fault: AnswerFault }

export interface AnswerAssembler {
  /** Adds the data of one event. Returns whether the answer has ended or turned out to be broken. */
  addEvent: (data: string) => boolean
  getResult: () => AssemblyResult
}

interface ToolCall {
  id: string | undefined
  type: string | undefined
  name: string
  arguments: string
}

const doneMarker = '[DONE]'

function toObject (value: unknown): JsonObject | undefined {
  return typeof value === 'object' && value !== null ? value as JsonObject : undefined
}

function parseObject (data: string): JsonObject | undefined {
  try {
    return toObject(JSON.parse(data))
  } catch {
    return undefined
  }
}

function toCount (value: unknown): number {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0 ? value : 0
}

function parseUsage (usage: JsonObject): types.TokenCount {
  const details = toObject(usage['prompt_tokens_details'])
  return {
    prompt: toCount(usage['prompt_tokens']),
    cached: toCount(details?.['cached_tokens']),
    generated: toCount(usage['completion_tokens'])
  }
}

/** Engines return the request id as the id of the answer, some with a prefix. */
function isIdOfRequest (id: unknown, requestId: string): boolean {
  return id === requestId || id === `chatcmpl-${requestId}`
}

/** Creates an assembler for the answer to one request. `onDelta` gets each non-empty piece of the content. */
export function createAnswerAssembler (requestId: string, onDelta: (text: string) => void): AnswerAssembler {
  const toolCalls: ToolCall[] = []
  let role = 'assistant'
  let content = ''
  const otherFields = new Map<string, unknown>()
  let finishReason: string | undefined
  let tokens: types.TokenCount | undefined
  let isDone = false
  let fault: AnswerFault | undefined

  function addToolCall (toolCallDelta: JsonObject): void {
    const index = toCount(toolCallDelta['index'])
    if (!Number.isInteger(index) || index >= maxToolCalls) {
      fault = 'toolCallIndex'
      return
    }
    const functionDelta = toObject(toolCallDelta['function'])
    const call = toolCalls[index] ?? { id: undefined, type: undefined, name: '', arguments: '' }
    toolCalls[index] = call
    if (typeof toolCallDelta['id'] === 'string') call.id = toolCallDelta['id']
    if (typeof toolCallDelta['type'] === 'string') call.type = toolCallDelta['type']
    if (typeof functionDelta?.['name'] === 'string') call.name += functionDelta['name']
    if (typeof functionDelta?.['arguments'] === 'string') call.arguments += functionDelta['arguments']
  }

  function addDelta (delta: JsonObject): void {
    const { role: newRole, content: text, tool_calls: calls, ...otherDeltaFields } = delta
    if (typeof newRole === 'string') role = newRole
    if (Array.isArray(calls)) for (const toolCallDelta of calls) addToolCall(toObject(toolCallDelta) ?? {})
    for (const [name, value] of Object.entries(otherDeltaFields)) appendField(name, value)
    if (typeof text !== 'string' || text === '') return
    content += text
    onDelta(text)
  }

  /** Other text fields, such as reasoning, are streamed in pieces too and concatenated. */
  function appendField (name: string, value: unknown): void {
    const previous = otherFields.get(name)
    otherFields.set(name, typeof previous === 'string' && typeof value === 'string' ? previous + value : value)
  }

  function addChoice (choice: JsonObject): void {
    const delta = toObject(choice['delta'])
    if (delta !== undefined) addDelta(delta)
    if (typeof choice['finish_reason'] === 'string') finishReason = choice['finish_reason']
  }

  function addChunk (chunk: JsonObject): void {
    const choice = Array.isArray(chunk['choices']) ? toObject(chunk['choices'][0]) : undefined
    const usage = toObject(chunk['usage'])
    if (choice !== undefined) addChoice(choice)
    if (usage !== undefined) tokens = parseUsage(usage)
  }

  function addEvent (data: string): boolean {
    if (isDone || fault !== undefined) return true
    if (data === doneMarker) {
      isDone = true
      return true
    }
    const chunk = parseObject(data)
    if (chunk === undefined) fault = 'notJson'
    else if (!isIdOfRequest(chunk['id'], requestId)) fault = 'otherRequest'
    else addChunk(chunk)
    return fault !== undefined
  }

  function buildMessage (): types.ChatMessage {
    const calls = toolCalls.map((call) => ({ id: call.id, type: call.type ?? 'function', function: { name: call.name, arguments: call.arguments } }))
    const text = content === '' && calls.length > 0 ? null : content
    return { ...Object.fromEntries(otherFields), role, content: text, ...(calls.length > 0 ? { tool_calls: calls } : {}) }
  }

  function getResult (): AssemblyResult {
    if (fault !== undefined) return { type: 'broken', fault }
    if (!isDone || finishReason === undefined) return { type: 'broken', fault: 'noEnd' }
    if (tokens === undefined) return { type: 'broken', fault: 'noUsage' }
    return { type: 'whole', answer: { message: buildMessage(), finishReason, tokens } }
  }

  return { addEvent, getResult }
}
