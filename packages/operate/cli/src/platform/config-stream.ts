/** Reads the configuration stream for one command: the version in force, and what became of each change. */
import * as configState from '@eelgrasswind/config-state'
import * as errors from '@eelgrasswind/errors'
import type * as logClient from '@eelgrasswind/log-client'
import type * as types from '@eelgrasswind/types'

/** What the stream says of one change. */
export interface JudgedChange {
  readonly change: configState.ConfigChange
  readonly effect: Extract<configState.Effect, { type: 'accepted' | 'rejected' }>
}

const pageRecords = 500

export class ConfigStream {
  state = configState.initialState
  private readonly judged = new Map<configState.ChangeId, JudgedChange>()
  private readonly accepted = new Map<types.ConfigVersion, configState.ConfigChange>()

  constructor (private readonly log: logClient.LogClient) {}

  /** Reads to the end of the stream. */
  async read (): Promise<errors.Result<configState.ConfigState>> {
    for (;;) {
      const from = configState.nextOffset(this.state)
      const page = await this.log.read(configState.configStream, from, { limit: pageRecords })
      if (!page.ok) return page
      this.state = configState.skipExpired(this.state, page.value.first)
      for (const record of page.value.records) this.apply(record)
      const next = configState.nextOffset(this.state)
      if (next >= page.value.next || next === from) return errors.ok(this.state)
    }
  }

  /** What became of a change; undefined where the stream does not hold it yet. Of several copies the first counts. */
  fateOf (id: configState.ChangeId): JudgedChange | undefined {
    return this.judged.get(id)
  }

  /** The change that made a version, where it was read. */
  authorOf (version: types.ConfigVersion): configState.ConfigChange | undefined {
    return this.accepted.get(version)
  }

  private apply (record: logClient.LogRecord): void {
    const { state, effect } = configState.applyRecord(this.state, record)
    this.state = state
    if (effect.type !== 'accepted' && effect.type !== 'rejected') return
    const change = configState.parseChange(record.data)
    if (!change.ok) return
    if (effect.type === 'accepted') this.accepted.set(effect.version, change.value)
    if (!this.judged.has(change.value.id)) this.judged.set(change.value.id, { change: change.value, effect })
  }
}
