/** Checks answers that another process has passed on: they are data from the network, and may be those of another call. */
import type * as storeCall from './store-call.js'

type Fields = Readonly<Record<string, unknown>>

/** Another process has passed on an answer that the store does not give to such a call. */
export class InvalidStoreAnswerError extends Error {
  constructor (address: string, call: storeCall.StoreCall['type']) {
    super(`invalid answer of ${address} to a relayed store call: ${call}`)
    this.name = 'InvalidStoreAnswerError'
  }
}

/** Whether the store may give the answer to the call. */
export function isStoreAnswer (call: storeCall.StoreCall, answer: unknown): answer is storeCall.StoreAnswer {
  return isFields(answer) && (isFailure(answer) || isResult(call, answer))
}

function isFailure ({ type, status }: Fields): boolean {
  return type === 'noAnswer' || (type === 'refused' && typeof status === 'number')
}

function isResult (call: storeCall.StoreCall, answer: Fields): boolean {
  switch (call.type) {
    case 'append': return answer['type'] === 'appended' || answer['type'] === 'fenced' || answer['type'] === 'outOfSequence'
    case 'put': return answer['type'] === 'appended'
    case 'newest': return answer['type'] === 'page' && isList(answer['records'], isValuedRecord) && isMissingOrText(answer['after']) && Number.isFinite(answer['end'])
    case 'read': return answer['type'] === 'expired' || (answer['type'] === 'records' && isList(answer['records'], isRecord) && Number.isFinite(answer['next']))
    case 'join': return answer['type'] === 'assigned' && Number.isFinite(answer['generation']) && isList(answer['partitions'], isPartition)
    case 'leave': return answer['type'] === 'left'
    case 'owners': return answer['type'] === 'owners' && isList(answer['owners'], isOwner)
  }
}

function isFields (value: unknown): value is Fields {
  return typeof value === 'object' && value !== null
}

function isList (value: unknown, isItem: (item: Fields) => boolean): boolean {
  return Array.isArray(value) && value.every((item) => isFields(item) && isItem(item))
}

function isMissingOrText (value: unknown): boolean {
  return value === undefined || typeof value === 'string'
}

function isValuedRecord ({ key, value }: Fields): boolean {
  return typeof key === 'string' && value instanceof Uint8Array
}

/** Without a value it removes its key. */
function isRecord (record: Fields): boolean {
  return isValuedRecord(record) || (typeof record['key'] === 'string' && record['value'] === undefined)
}

function isPartition ({ topic, part }: Fields): boolean {
  return typeof topic === 'string' && typeof part === 'number'
}

function isOwner ({ partition, member }: Fields): boolean {
  return typeof member === 'string' && isFields(partition) && isPartition(partition)
}
