// Which package may import which: the table of docs/architecture.md, as the linter checks it.

/** The folders under packages/, from the bottom up: no package imports one of a group above its own, but for its tests. */
export const groups = ['base', 'decide', 'peers', 'state', 'programs', 'operate', 'testing']

// Each layer may import the layers before it; `pure` and `peers` packages also import their own layer where listed.
const base = ['types', 'errors', 'logger', 'decision-log', 'timer-service', 'bounded-map', 'body-budget', 'process-signals', 'exit-log', 'limit-memory', 'message-framing']
const servers = ['drain-server', 'listen-server', 'limit-connections']
const pure = ['parse-settings', 'program-state', 'config-state', 'choose-home', 'place-call', 'order-queue',
  'admit-program', 'retain-prefix', 'limit-client', 'decide-retry', 'membership', 'hash-text', 'explain-request', 'find-losses', 'route-request', 'turn-ledger',
  'track-upstreams', 'identify-client', 'meter-account', 'limit-crashes']
const peers = ['log-client', 'host-list-client', 'engine-client', 'service-client', 'weight-store-client',
  'sidecar-client', 'send-http', 'shard-log', 'caller-server', 'caller-client', 'metrics', 'tracing']
const parts = ['settings-file', 'append-journal', 'follow-config', 'guard-upstream', 'program-home', 'process-base', 'follow-records', 'own-shards',
  'relay-store', 'share-load']
const binaries = ['front', 'entry', 'sidecar', 'cli', 'load']
const bench = ['stand-ins', 'test-utils', 'model-engines', 'slopes', 'demo', 'system-tests']

function layer (names, allowed) {
  return names.map((name) => ({ name, allowed: allowed.filter((other) => other !== name) }))
}

export const all = [
  ...layer(['types', 'timer-service', 'bounded-map', 'body-budget', 'process-signals', 'exit-log', 'limit-memory', 'message-framing', ...servers], []),
  ...layer(['errors', 'logger'], ['types', 'message-framing']),
  ...layer(['decision-log'], ['types', 'logger', 'message-framing', 'listen-server']),
  // Pure packages touch no network, file or clock; they may build on one another.
  ...layer(pure, ['types', 'errors', 'decision-log', 'timer-service', 'bounded-map', ...pure]),
  // A package for each peer; they know nothing of one another.
  ...layer(peers, [...base, ...servers]),
  ...layer(parts, [...base, ...pure, ...peers, 'listen-server', 'settings-file', 'append-journal', 'follow-config']),
  ...layer(binaries, [...base, ...servers, ...pure, ...peers, ...parts]),
  ...layer(['stand-ins'], [...base, 'shard-log']),
  ...layer(bench.filter((name) => name !== 'stand-ins'), [...base, ...servers, ...pure, ...peers, ...parts, ...binaries, ...bench])
]
