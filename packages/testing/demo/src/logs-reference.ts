/** The page of log lines, made from the table of decisions. */
import * as decisionLog from '@eelgrasswind/decision-log'

const introduction = `# Log lines of the front

Made from \`eventTable\` of \`packages/base/decision-log\` by \`node packages/testing/demo/dist/src/write-settings.js\`; a test compares this page with it. The fields of each event, with their types, are in \`packages/base/decision-log/src/decisions.ts\`.

One JSON record a line on standard output: \`time\`, \`host\`, \`level\` (30 info, 40 warn, 50 error), \`event\`, \`msg\` and the event's fields; \`request\` on every line about one request. \`linesLeftOut\` counts what was over the budget of lines, \`linesDropped\` what nobody read in time.

\`exit\` (level 60) is the last line of a process that ends by itself, also before it has settings or while it loads; entry and sidecar write it on standard error. It has \`name\` and \`pid\` in place of \`host\`, the exit \`code\`, the \`reason\` and, where an error led to the end, \`err\`. A process that is killed, or that Node.js ends at its heap limit, leaves no such line.

\`settingsAwaited\` (level 40) has the same form: the settings file is missing, can't be read or is half written. The process reads it again for up to 15 s, then ends with code 1; an invalid field of a whole file ends it at once.

| event | level | message |
|---|---|---|
`

/** The text of docs/logs.md. */
export function logsReference (): string {
  const rows = Object.entries(decisionLog.eventTable).map(([event, { level, message }]) => `| \`${event}\` | ${level} | ${message} |\n`)
  return introduction + rows.join('')
}
