/** Publishes a configuration and says what became of it. */
import * as crypto from 'node:crypto'
import * as configState from '@eelgrasswind/config-state'
import * as errors from '@eelgrasswind/errors'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import * as formatDifference from '../../base/format-difference.js'
import type * as outcome from '../../base/outcome.js'
import type * as configStream from '../../platform/config-stream.js'
import * as openConfig from '../../platform/open-config.js'
import * as publishChange from '../../platform/publish-change.js'
import type * as check from './check.js'
import * as waitForHosts from './wait-for-hosts.js'

type Progress = (line: string) => void

function describeAuthor (stream: configStream.ConfigStream, version: types.ConfigVersion): string {
  const author = stream.authorOf(version)
  return author === undefined ? '' : `, published by ${author.by} at ${new Date(author.at).toISOString()}`
}

function refused (stream: configStream.ConfigStream, message: string): outcome.CliFailure {
  const { version } = stream.state
  return { tag: 'refused', message: `${message}; version ${version} is in force${describeAuthor(stream, version)}`, versionInForce: version }
}

/** The version that a judged change made, or why it was refused. */
function versionOf (stream: configStream.ConfigStream, { effect }: configStream.JudgedChange): errors.Result<types.ConfigVersion, outcome.CliFailure> {
  if (effect.type === 'accepted') return errors.ok(effect.version)
  const message = effect.reason === 'stale' ? 'another change came first and nothing of this one took effect' : `${effect.reason}: ${effect.detail}`
  return errors.fail(refused(stream, message))
}

function versionAfter (stream: configStream.ConfigStream, change: configState.ConfigChange, result: publishChange.PublishResult): errors.Result<types.ConfigVersion, outcome.CliFailure> {
  switch (result.type) {
    case 'judged': return versionOf(stream, result.fate)
    case 'notSent': return errors.fail(openConfig.logFailure(result.failure))
    case 'unknown': return errors.fail({ tag: 'unknownFate', message: `${result.failure.message}; publishing the same file again is safe`, change: change.id })
    default: return errors.assertNever(result)
  }
}

async function describeAccepted (req: check.PublishRequest, timers: timerService.TimerService, version: types.ConfigVersion, from: types.ConfigVersion, progress: Progress): Promise<outcome.Outcome> {
  const text = `accepted: version ${version} is in force (before: ${from})`
  if (!req.wait) return { text, json: { result: 'accepted', version, before: from } }
  const hosts = await waitForHosts.waitForHosts(req.settings, timers, version, progress)
  return { text: `${text}\n${waitForHosts.formatHosts(hosts)}`, json: { result: 'accepted', version, before: from, hosts } }
}

export function publish (req: check.PublishRequest, timers: timerService.TimerService, progress: Progress): Promise<outcome.CliResult> {
  return openConfig.withConfigStream<outcome.Outcome>(req.settings, timers, async (stream, log) => {
    const from = stream.state.version
    if (req.basedOn !== undefined && req.basedOn !== from) return errors.fail(refused(stream, `the file was made from version ${req.basedOn}`))
    const inForce = openConfig.configInForce(stream.state)
    const differences = configState.listDifferences(inForce, req.config)
    if (differences.length === 0) return errors.ok({ text: `version ${from} is the same; nothing to publish`, json: { result: 'unchanged', version: from } })
    if (req.dryRun) return errors.ok({ text: `would change version ${from}:\n${formatDifference.formatDifferences(differences)}`, json: { result: 'dryRun', version: from, differences } })
    progress(formatDifference.summarizeDifferences(differences))
    const author = { id: crypto.randomUUID() as string as configState.ChangeId, by: req.by, at: timers.now() as types.EpochMs }
    const change = configState.makeChange(configState.diffConfig(inForce, req.config), from, author)
    const result = await publishChange.publishChange({ log, stream, timers, limitMs: req.settings.publishLimitMs, progress }, change)
    const version = versionAfter(stream, change, result)
    return version.ok ? errors.ok(await describeAccepted(req, timers, version.value, from, progress)) : version
  })
}
