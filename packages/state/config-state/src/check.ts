/** Checks of a configuration that no single field can show: references between sections, and names used twice. */
import * as errors from '@eelgrasswind/errors'
import * as parseSettings from '@eelgrasswind/parse-settings'
import * as config from './config.js'
import * as schema from './schema.js'

/** An error of a configuration; its path starts with section and id. */
export type ConfigError = parseSettings.FieldError

type Report = (path: parseSettings.FieldPath, expected: string, found: string) => void

/** Reports the second use of a value that must be unique. */
class FirstUses {
  private readonly first = new Map<string, parseSettings.FieldPath>()
  constructor (private readonly expected: string, private readonly report: Report) {}

  use (value: string, path: parseSettings.FieldPath, key = value): void {
    const earlier = this.first.get(key)
    if (earlier === undefined) this.first.set(key, path)
    else this.report(path, this.expected, `${JSON.stringify(value)}, which ${parseSettings.formatPath(earlier)} has`)
  }
}

function checkEngine (cfg: config.Config, engine: schema.Engine, path: parseSettings.FieldPath, report: Report): void {
  const models = new FirstUses('each model once', report)
  engine.models.forEach((model, index) => {
    const at = [...path, 'models', index]
    models.use(model, at)
    if (!cfg.models.has(model)) report(at, 'a model of the section models', JSON.stringify(model))
  })
}

function checkPlainService (cfg: config.Config, upstream: schema.PlainService, path: parseSettings.FieldPath, report: Report): void {
  if (cfg.services.has(upstream.service)) return
  report([...path, 'service'], 'a service of the section services', JSON.stringify(upstream.service))
}

function checkUpstream (cfg: config.Config, upstream: schema.Upstream, path: parseSettings.FieldPath, report: Report): void {
  switch (upstream.type) {
    case 'engine': return checkEngine(cfg, upstream, path, report)
    case 'service': return checkPlainService(cfg, upstream, path, report)
    default: errors.unreachable(upstream)
  }
}

/** What tells the addresses of upstreams apart; each host has a loopback address of its own. */
function addressKey (host: string, address: string): string {
  return /^http:\/\/(127\.|\[::1\])/.test(address) ? `${host} ${address}` : address
}

function checkHosts (cfg: config.Config, report: Report): void {
  const upstreamIds = new FirstUses('an id that no other upstream has', report)
  const addresses = new FirstUses('an address that no other upstream has', report)
  const regions = new Map<string, string>()
  for (const [id, host] of cfg.hosts) {
    const region = regions.get(host.availabilityZone) ?? host.region
    regions.set(host.availabilityZone, region)
    if (region !== host.region) report(['hosts', id, 'region'], `${JSON.stringify(region)}, the region of other hosts of its availability zone`, JSON.stringify(host.region))
    host.upstreams.forEach((upstream, index) => {
      const path = ['hosts', id, 'upstreams', index]
      upstreamIds.use(upstream.id, [...path, 'id'])
      addresses.use(upstream.address, [...path, 'address'], addressKey(id, upstream.address))
      checkUpstream(cfg, upstream, path, report)
    })
  }
}

function checkClients (cfg: config.Config, report: Report): void {
  const tokens = new FirstUses('a token that no other client has', report)
  for (const [id, client] of cfg.clients) tokens.use(client.tokenSha256, ['clients', id, 'tokenSha256'])
}

function checkKinds (cfg: config.Config, report: Report): void {
  for (const [id, kind] of cfg.kinds) {
    if (kind.maxTokens <= kind.budget.tokens) continue
    report(['kinds', id, 'maxTokens'], `at most ${kind.budget.tokens}, its budget.tokens`, String(kind.maxTokens))
  }
}

function checkLimits ({ limits }: config.Config, report: Report): void {
  const most = Math.floor(limits.retentionMs / 2)
  if (limits.snapshotMs > most) report(['limits', 'snapshotMs'], `at most ${most}, half of retentionMs`, String(limits.snapshotMs))
}

/** The sections that each check reads. */
const checks: readonly { readonly reads: readonly config.Section[], readonly run: (cfg: config.Config, report: Report) => void }[] = [
  { reads: ['hosts', 'models', 'services'], run: checkHosts },
  { reads: ['clients'], run: checkClients },
  { reads: ['kinds'], run: checkKinds },
  { reads: ['limits'], run: checkLimits }
]

/** Every error between sections, or only those that changes of the sections named can have made. */
export function checkConfig (cfg: config.Config, changed: readonly config.Section[] = config.sections): ConfigError[] {
  const found: ConfigError[] = []
  const report: Report = (path, expected, text) => { found.push({ kind: 'wrongValue', path, expected, found: text }) }
  for (const check of checks) {
    if (check.reads.some((section) => changed.includes(section))) check.run(cfg, report)
  }
  return found
}

/** The whole document with the checks between sections: what a file of an operator is read against. */
export const documentSchema = schema.documentShape.superRefine((document, ctx) => {
  for (const err of checkConfig(config.fromDocument(document))) {
    ctx.addIssue({ code: 'custom', path: [...err.path], message: err.expected, params: { found: err.found } })
  }
})

/** The configuration that a document stands for, or every error of it. */
export function validateConfig (document: unknown): errors.Result<config.Config, readonly ConfigError[]> {
  const parsed = parseSettings.parseValue(document, documentSchema)
  return parsed.ok ? errors.ok(config.fromDocument(parsed.value)) : parsed
}
