/** A call in flight and the requests that wait for its answer. */
import * as errors from '@eelgrasswind/errors'
import type * as types from '@eelgrasswind/types'

export type CallResult = errors.Result<types.CallEnd>

/** Fans placement and deltas of one call out to all requests that joined it. */
export class RunningCall {
  private placement: types.Placement | undefined
  private deltas: string[] = []
  private readonly sinks = new Set<types.CallSink>()
  private resolveDone: (result: CallResult) => void = () => undefined
  private readonly done: Promise<CallResult>
  /** Failure returned to waiting requests while the record of the call's end is not confirmed. */
  private interimFailure: errors.Failure | undefined
  private readonly interimWaiters = new Set<(failure: errors.Failure) => void>()

  constructor (readonly call: types.Call, readonly digest: string) {
    this.done = new Promise((resolve) => { this.resolveDone = resolve })
  }

  readonly sink: types.CallSink = {
    onPlaced: (placed) => {
      this.placement = placed
      this.deltas = []
      for (const sink of this.sinks) sink.onPlaced(placed)
    },
    onDelta: (text) => {
      this.deltas.push(text)
      for (const sink of this.sinks) sink.onDelta(text)
    }
  }

  /** Waits for the answer, or for an interim failure while its record is not confirmed. First replays the placement and the deltas so far. */
  async join (sink: types.CallSink): Promise<CallResult> {
    this.replay(sink)
    this.sinks.add(sink)
    const interim = this.waitForInterimFailure()
    const result = await Promise.race([this.done, interim.failure])
    interim.cancel()
    this.sinks.delete(sink)
    return result
  }

  private replay (sink: types.CallSink): void {
    if (this.placement === undefined) return
    sink.onPlaced(this.placement)
    if (this.deltas.length > 0) sink.onDelta(this.deltas.join(''))
  }

  private waitForInterimFailure (): { failure: Promise<CallResult>, cancel: () => void } {
    if (this.interimFailure !== undefined) return { failure: Promise.resolve(errors.fail(this.interimFailure)), cancel: () => undefined }
    let wake: (failure: errors.Failure) => void = () => undefined
    const failure = new Promise<CallResult>((resolve) => { wake = (interim) => resolve(errors.fail(interim)) })
    this.interimWaiters.add(wake)
    return { failure, cancel: () => this.interimWaiters.delete(wake) }
  }

  /** Fails all waiting requests, and those that join later. The call itself continues. */
  failInterim (failure: errors.Failure): void {
    this.interimFailure = failure
    for (const wake of [...this.interimWaiters]) wake(failure)
  }

  /** Whether a request was told that the call did not run; the call must then never be dispatched again. */
  get hasReportedNotRun (): boolean {
    return this.interimFailure?.verdict === 'notRun'
  }

  /** Returns the result to all waiting requests. */
  complete (result: CallResult): void {
    this.resolveDone(result)
  }
}
