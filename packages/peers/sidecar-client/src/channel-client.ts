/** Sends the frequent requests to one peer on a long-lived stream, which is opened on demand and again after it broke. */
import * as connect from '@connectrpc/connect'
import * as errors from '@eelgrasswind/errors'
import type * as timerService from '@eelgrasswind/timer-service'
import * as channelRequests from './channel-requests.js'
import * as gen from './gen/eelgrasswind_pb.js'
import * as transportFailures from './transport-failure.js'

export interface ChannelClientSettings {
  readonly transport: connect.Transport
  readonly timers: timerService.TimerService
  /** A peer that has not opened the stream after this time is given up, in milliseconds: nothing was sent to it. */
  readonly openTimeoutMs: number
  readonly noteSender: (sender: gen.Sender | undefined) => void
  readonly onBroken: (failure: errors.Failure) => void
}

/** A stream without requests is closed after this, so that idle peers exchange nothing, in milliseconds. */
const idleStreamMs = 5_000

const noPieces: channelRequests.Receiver = { onPlaced: () => undefined, onDelta: () => undefined }

export class ChannelClient {
  private readonly client: connect.Client<typeof gen.ChannelService>
  private current: channelRequests.ChannelRequests | undefined
  private idleCheck: timerService.Subscription | undefined
  private lastRequestAt = 0
  private closed = false

  constructor (private readonly settings: ChannelClientSettings) {
    this.client = connect.createClient(gen.ChannelService, settings.transport)
  }

  async request<T> (body: channelRequests.RequestBody, receiver: channelRequests.Receiver, signal?: AbortSignal): Promise<errors.Result<T>> {
    this.lastRequestAt = this.settings.timers.monotonic()
    return await this.stream().request<T>(body, receiver, signal)
  }

  /** As request, for one that the peer answers at once: no answer within the limit, in milliseconds, counts as a broken peer. */
  async ask<T> (body: channelRequests.RequestBody, limitMs: number): Promise<errors.Result<T>> {
    const late = new AbortController()
    const limit = this.settings.timers.after(limitMs, () => late.abort())
    const result = await this.request<T>(body, noPieces, late.signal)
    limit.cancel()
    if (result.ok || !late.signal.aborted || result.failure.tag !== 'cancelled') return result
    const failure = transportFailures.unreachable(result.failure.verdict, `no answer within ${limitMs} ms`)
    this.noteBroken(failure)
    return errors.fail(failure)
  }

  private stream (): channelRequests.ChannelRequests {
    if (this.current?.isAccepting === true) return this.current
    const requests = new channelRequests.ChannelRequests()
    this.current = requests
    this.idleCheck?.cancel()
    this.idleCheck = this.settings.timers.after(idleStreamMs, () => this.closeIdle(requests))
    void this.run(requests)
    return requests
  }

  private closeIdle (requests: channelRequests.ChannelRequests): void {
    const idleMs = requests.size > 0 ? 0 : this.settings.timers.monotonic() - this.lastRequestAt
    if (idleMs >= idleStreamMs) return requests.stopAccepting()
    if (!requests.isAccepting) return
    this.idleCheck = this.settings.timers.after(idleStreamMs - idleMs, () => this.closeIdle(requests))
  }

  private async run (requests: channelRequests.ChannelRequests): Promise<void> {
    let opened: () => void = () => undefined
    const open = new Promise<void>((resolve) => { opened = resolve })
    const late = new AbortController()
    const limit = this.settings.timers.after(this.settings.openTimeoutMs, () => {
      requests.fail('the peer does not open the stream')
      late.abort()
    })
    try {
      for await (const message of this.client.open(outgoing(requests, open), { signal: late.signal })) {
        limit.cancel()
        opened()
        this.settings.noteSender(message.sender)
        requests.receive(message)
      }
      // An end that was not announced, with answers missing.
      if (requests.size > 0) this.noteBroken(transportFailures.unreachable('mayHaveRun', 'the peer ended the stream'))
      requests.fail('the peer ended the stream')
    } catch (err) {
      const message = err instanceof Error ? err.message : String(err)
      requests.fail(message)
      this.noteBroken(transportFailures.transportFailure(err))
    } finally {
      limit.cancel()
      opened()
    }
  }

  /** A connection that was closed here says nothing of the host, which may live at another address by now. */
  private noteBroken (failure: errors.Failure): void {
    if (!this.closed) this.settings.onBroken(failure)
  }

  close (): void {
    this.closed = true
    this.idleCheck?.cancel()
  }
}

/** Nothing is sent before the peer has opened the stream, so that a request to a peer that is gone never left. */
async function * outgoing (requests: channelRequests.ChannelRequests, open: Promise<void>): AsyncGenerator<{ frames: gen.RequestFrame[] }> {
  await open
  for await (const frames of requests.batches()) yield { frames }
}
