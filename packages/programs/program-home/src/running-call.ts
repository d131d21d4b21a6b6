/** A call under way, and everyone who waits for its answer. */
import * as errors from '@eelgrasswind/errors'
import type * as types from '@eelgrasswind/types'

export type CallResult = errors.Result<types.CallEnd>

export class RunningCall {
  private placed: types.Placement | undefined
  private text: string[] = []
  private readonly sinks = new Set<types.CallSink>()
  private settle: (result: CallResult) => void = () => undefined
  private readonly done: Promise<CallResult>
  /** Told to those who wait while the record of how it ended is not confirmed. */
  private interim: errors.Failure | undefined
  private readonly interimWaiters = new Set<(failure: errors.Failure) => void>()

  constructor (readonly call: types.Call, readonly digest: string) {
    this.done = new Promise((resolve) => { this.settle = resolve })
  }

  readonly sink: types.CallSink = {
    onPlaced: (placed) => {
      this.placed = placed
      this.text = []
      for (const sink of this.sinks) sink.onPlaced(placed)
    },
    onDelta: (text) => {
      this.text.push(text)
      for (const sink of this.sinks) sink.onDelta(text)
    }
  }

  /** The answer, or an interim refusal while its record waits for the log; a late joiner gets the pieces so far. */
  async join (sink: types.CallSink): Promise<CallResult> {
    this.replay(sink)
    this.sinks.add(sink)
    const interim = this.nextInterim()
    const result = await Promise.race([this.done, interim.failure])
    interim.cancel()
    this.sinks.delete(sink)
    return result
  }

  private replay (sink: types.CallSink): void {
    if (this.placed === undefined) return
    sink.onPlaced(this.placed)
    if (this.text.length > 0) sink.onDelta(this.text.join(''))
  }

  private nextInterim (): { failure: Promise<CallResult>, cancel: () => void } {
    if (this.interim !== undefined) return { failure: Promise.resolve(errors.fail(this.interim)), cancel: () => undefined }
    let wake: (failure: errors.Failure) => void = () => undefined
    const failure = new Promise<CallResult>((resolve) => { wake = (given) => resolve(errors.fail(given)) })
    this.interimWaiters.add(wake)
    return { failure, cancel: () => this.interimWaiters.delete(wake) }
  }

  /** Answers all who wait for now; the call goes on. */
  answerForNow (failure: errors.Failure): void {
    this.interim = failure
    for (const wake of [...this.interimWaiters]) wake(failure)
  }

  /** Whether somebody was told that it has not run: then it never may. */
  get toldNotRun (): boolean {
    return this.interim?.verdict === 'notRun'
  }

  end (result: CallResult): void {
    this.settle(result)
  }
}
