/** Checks of a configuration across fields: references between sections, unique values, and related bounds. */
import * as errors from '@eelgrasswind/errors'
import * as parseSettings from '@eelgrasswind/parse-settings'
import * as config from './config.js'
import * as schema from './schema.js'

/** An error in a configuration; its path starts with section and id. */
export type ConfigError = parseSettings.FieldError

type ReportError = (path: parseSettings.FieldPath, expected: string, found: string) => void

/** Reports repeated uses of a value that must be unique. */
class UniqueValues {
  private readonly firstPaths = new Map<string, parseSettings.FieldPath>()
  constructor (private readonly expected: string, private readonly report: ReportError) {}

  add (value: string, path: parseSettings.FieldPath, key = value): void {
    const firstPath = this.firstPaths.get(key)
    if (firstPath === undefined) this.firstPaths.set(key, path)
    else this.report(path, this.expected, `${JSON.stringify(value)}, which ${parseSettings.formatPath(firstPath)} has`)
  }
}

function checkEngine (cfg: config.Config, engine: schema.Engine, path: parseSettings.FieldPath, report: ReportError): void {
  const models = new UniqueValues('each model once', report)
  engine.models.forEach((model, index) => {
    const modelPath = [...path, 'models', index]
    models.add(model, modelPath)
    if (!cfg.models.has(model)) report(modelPath, 'a model of the section models', JSON.stringify(model))
  })
}

function checkPlainService (cfg: config.Config, upstream: schema.PlainService, path: parseSettings.FieldPath, report: ReportError): void {
  if (cfg.services.has(upstream.service)) return
  report([...path, 'service'], 'a service of the section services', JSON.stringify(upstream.service))
}

function checkUpstream (cfg: config.Config, upstream: schema.Upstream, path: parseSettings.FieldPath, report: ReportError): void {
  switch (upstream.type) {
    case 'engine': return checkEngine(cfg, upstream, path, report)
    case 'service': return checkPlainService(cfg, upstream, path, report)
    default: errors.assertNever(upstream)
  }
}

/** Key under which an upstream address must be unique; loopback addresses only within their host. */
function addressKey (host: string, address: string): string {
  return /^http:\/\/(127\.|\[::1\])/.test(address) ? `${host} ${address}` : address
}

function checkHosts (cfg: config.Config, report: ReportError): void {
  const upstreamIds = new UniqueValues('an id that no other upstream has', report)
  const addresses = new UniqueValues('an address that no other upstream has', report)
  const regions = new Map<string, string>()
  for (const [id, host] of cfg.hosts) {
    const region = regions.get(host.availabilityZone) ?? host.region
    regions.set(host.availabilityZone, region)
    if (region !== host.region) report(['hosts', id, 'region'], `${JSON.stringify(region)}, the region of other hosts of its availability zone`, JSON.stringify(host.region))
    host.upstreams.forEach((upstream, index) => {
      const path = ['hosts', id, 'upstreams', index]
      upstreamIds.add(upstream.id, [...path, 'id'])
      addresses.add(upstream.address, [...path, 'address'], addressKey(id, upstream.address))
      checkUpstream(cfg, upstream, path, report)
    })
  }
}

function checkClients (cfg: config.Config, report: ReportError): void {
  const tokens = new UniqueValues('a token that no other client has', report)
  for (const [id, client] of cfg.clients) tokens.add(client.tokenSha256, ['clients', id, 'tokenSha256'])
}

function checkKinds (cfg: config.Config, report: ReportError): void {
  for (const [id, kind] of cfg.kinds) {
    if (kind.maxTokens <= kind.budget.tokens) continue
    report(['kinds', id, 'maxTokens'], `at most ${kind.budget.tokens}, its budget.tokens`, String(kind.maxTokens))
  }
}

function checkLimits ({ limits }: config.Config, report: ReportError): void {
  const maxSnapshotMs = Math.floor(limits.retentionMs / 2)
  if (limits.snapshotMs > maxSnapshotMs) report(['limits', 'snapshotMs'], `at most ${maxSnapshotMs}, half of retentionMs`, String(limits.snapshotMs))
}

/** Each check, with the sections that it reads. */
const checks: readonly { readonly sections: readonly config.Section[], readonly run: (cfg: config.Config, report: ReportError) => void }[] = [
  { sections: ['hosts', 'models', 'services'], run: checkHosts },
  { sections: ['clients'], run: checkClients },
  { sections: ['kinds'], run: checkKinds },
  { sections: ['limits'], run: checkLimits }
]

/** Returns every error of these checks, or only those that a change of the given sections can have caused. */
export function checkConfig (cfg: config.Config, changed: readonly config.Section[] = config.sections): ConfigError[] {
  const configErrors: ConfigError[] = []
  const report: ReportError = (path, expected, foundText) => { configErrors.push({ kind: 'wrongValue', path, expected, found: foundText }) }
  for (const check of checks) {
    if (check.sections.some((section) => changed.includes(section))) check.run(cfg, report)
  }
  return configErrors
}

/** Schema of the whole document including the checks across fields, for files of operators. */
export const documentSchema = schema.documentShape.superRefine((document, ctx) => {
  for (const err of checkConfig(config.fromDocument(document))) {
    ctx.addIssue({ code: 'custom', path: [...err.path], message: err.expected, params: { found: err.found } })
  }
})

/** Converts a document to a configuration, or returns every error in it. */
export function validateConfig (document: unknown): errors.Result<config.Config, readonly ConfigError[]> {
  const parsed = parseSettings.parseValue(document, documentSchema)
  return parsed.ok ? errors.ok(config.fromDocument(parsed.value)) : parsed
}
