/** Events of one call's answer, from the upstream to the caller. */
import type * as ids from './ids.js'
import type * as program from './program.js'

/** Pieces of an answer, in order; the last one is always `end`, or the stream fails. */
export type CallEvent =
  | { readonly type: 'placed', readonly upstream: ids.UpstreamId, readonly host: ids.HostId }
  /** A piece of generated text. */
  | { readonly type: 'delta', readonly text: string }
  | { readonly type: 'end', readonly end: CallEnd }

/** The closing event of an answer, sent only after its record is confirmed. */
export interface CallEnd {
  readonly key: ids.RequestKey
  readonly branch: ids.BranchId
  readonly seq: number
  readonly outcome: program.CallOutcome
  readonly tokens: program.TokenCount
  readonly usage: program.Usage
  /** Characters of the whole text of the answer. */
  readonly length: number
  /** SHA-256 of the whole text of the answer, in hex. */
  readonly sha256: string
  /** Whether the answer comes from the history because the key was asked before. */
  readonly repeated: boolean
}
