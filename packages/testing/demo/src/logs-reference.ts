/** The page of log lines, made from the table of decisions. */
import * as decisionLog from '@eelgrasswind/decision-log'

const introduction = `# Log lines of the front

Made from \`eventTable\` of \`packages/base/decision-log\` by \`node packages/testing/demo/dist/src/write-settings.js\`; a test compares this page with it. The fields of each event, with their types, are in \`packages/base/decision-log/src/decisions.ts\`.

One JSON record a line on standard output: \`time\`, \`host\`, \`level\` (30 info, 40 warn, 50 error), \`event\`, \`msg\` and the event's fields; \`request\` on every line about one request. \`linesLeftOut\` counts what was over the budget of lines, \`linesDropped\` what nobody read in time.

| event | level | message |
|---|---|---|
`

/** The text of docs/logs.md. */
export function logsReference (): string {
  const rows = Object.entries(decisionLog.eventTable).map(([event, { level, message }]) => `| \`${event}\` | ${level} | ${message} |\n`)
  return introduction + rows.join('')
}
