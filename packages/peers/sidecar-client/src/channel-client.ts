/** Sends the frequent requests to one peer on a long-lived stream, which is opened on demand and reopened after a failure. */
import * as connect from '@connectrpc/connect'
import * as errors from '@eelgrasswind/errors'
import type * as timerService from '@eelgrasswind/timer-service'
import * as channelRequests from './channel-requests.js'
import * as gen from './gen/eelgrasswind_pb.js'
import * as transportFailures from './transport-failure.js'

export interface ChannelClientSettings {
  readonly transport: connect.Transport
  readonly timers: timerService.TimerService
  /** Timeout for the peer to open a stream, in milliseconds. Requests on a stream that times out were not sent: notRun. */
  readonly openTimeoutMs: number
  /** Called with the sender of each message; undefined where the message has none. */
  readonly onSenderReceived: (sender: gen.Sender | undefined) => void
  /** Called when the peer could not be reached or a stream to it failed. */
  readonly onUnavailable: (failure: errors.Failure) => void
}

/** Idle timeout of a stream without requests, in milliseconds, so that idle peers exchange no messages. */
const idleStreamMs = 5_000

/** Receiver for requests whose answer has no intermediate frames. */
const discardingReceiver: channelRequests.AnswerReceiver = { onPlaced: () => undefined, onDelta: () => undefined }

/** Reuses the current stream while it accepts requests, and opens a new one otherwise. */
export class ChannelClient {
  private readonly client: connect.Client<typeof gen.ChannelService>
  private currentRequests: channelRequests.ChannelRequests | undefined
  private idleTimer: timerService.Subscription | undefined
  private lastRequestAt = 0
  private openStreamCount = 0
  private isClosed = false
  private onRetired: (() => void) | undefined

  constructor (private readonly settings: ChannelClientSettings) {
    this.client = connect.createClient(gen.ChannelService, settings.transport)
  }

  /** Sends a request on the current stream; see ChannelRequests.request. */
  async request<T> (body: channelRequests.RequestBody, receiver: channelRequests.AnswerReceiver, signal?: AbortSignal): Promise<errors.Result<T>> {
    this.lastRequestAt = this.settings.timers.monotonic()
    return await this.getAcceptingRequests().request<T>(body, receiver, signal)
  }

  /**
   * Sends a request that the peer answers promptly. Without an answer within the timeout, in milliseconds, the request
   * fails and the peer is reported as unavailable.
   */
  async requestWithTimeout<T> (body: channelRequests.RequestBody, timeoutMs: number): Promise<errors.Result<T>> {
    const timeoutController = new AbortController()
    const timeout = this.settings.timers.after(timeoutMs, () => timeoutController.abort())
    const result = await this.request<T>(body, discardingReceiver, timeoutController.signal)
    timeout.cancel()
    if (result.ok || !timeoutController.signal.aborted || result.failure.tag !== 'cancelled') return result
    const failure = transportFailures.createPeerUnavailable(result.failure.verdict, `no answer within ${timeoutMs} ms`)
    this.reportUnavailable(failure)
    return errors.fail(failure)
  }

  private getAcceptingRequests (): channelRequests.ChannelRequests {
    if (this.currentRequests?.isAccepting === true) return this.currentRequests
    const requests = new channelRequests.ChannelRequests()
    this.currentRequests = requests
    this.idleTimer?.cancel()
    this.idleTimer = this.settings.timers.after(idleStreamMs, () => this.closeIfIdle(requests))
    void this.runStream(requests)
    return requests
  }

  private closeIfIdle (requests: channelRequests.ChannelRequests): void {
    const idleMs = requests.inFlightCount > 0 ? 0 : this.settings.timers.monotonic() - this.lastRequestAt
    if (idleMs >= idleStreamMs) return requests.stopAccepting()
    if (!requests.isAccepting) return
    this.idleTimer = this.settings.timers.after(idleStreamMs - idleMs, () => this.closeIfIdle(requests))
  }

  private async runStream (requests: channelRequests.ChannelRequests): Promise<void> {
    let resolveOpened: () => void = () => undefined
    const streamOpened = new Promise<void>((resolve) => { resolveOpened = resolve })
    const timeoutController = new AbortController()
    this.openStreamCount += 1
    const timeout = this.settings.timers.after(this.settings.openTimeoutMs, () => {
      requests.failAll('peer did not open the stream within the timeout')
      timeoutController.abort()
    })
    try {
      for await (const message of this.client.open(generateMessages(requests, streamOpened), { signal: timeoutController.signal })) {
        timeout.cancel()
        resolveOpened()
        this.settings.onSenderReceived(message.sender)
        requests.receive(message)
      }
      // The peer ended the stream without a closing message and without answering all requests.
      if (requests.inFlightCount > 0) this.reportUnavailable(transportFailures.createPeerUnavailable('mayHaveRun', 'peer ended the stream'))
      requests.failAll('peer ended the stream')
    } catch (err) {
      const message = err instanceof Error ? err.message : String(err)
      requests.failAll(message)
      this.reportUnavailable(transportFailures.toTransportFailure(err))
    } finally {
      timeout.cancel()
      resolveOpened()
      this.openStreamCount -= 1
      if (this.openStreamCount === 0) this.onRetired?.()
    }
  }

  /** A connection that this client closed is not reported: the host may be available at another address. */
  private reportUnavailable (failure: errors.Failure): void {
    if (!this.isClosed) this.settings.onUnavailable(failure)
  }

  /** Like `close`, but calls `onRetired` once the requests in flight have ended. */
  retire (onRetired: () => void): void {
    this.close()
    this.currentRequests?.stopAccepting()
    this.onRetired = onRetired
    if (this.openStreamCount === 0) onRetired()
  }

  /** Stops the idle timer and the reports of unavailability. The owner of the transport closes the connection. */
  close (): void {
    this.isClosed = true
    this.idleTimer?.cancel()
  }
}

/** Sends nothing before the peer has opened the stream, so that requests to an unreachable peer are certainly notRun. */
async function * generateMessages (requests: channelRequests.ChannelRequests, streamOpened: Promise<void>): AsyncGenerator<{ frames: gen.RequestFrame[] }> {
  await streamOpened
  for await (const frames of requests.takeBatches()) yield { frames }
}
