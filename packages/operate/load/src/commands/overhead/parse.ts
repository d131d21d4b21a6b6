/** `overhead` */
import * as clipanion from 'clipanion'
import * as overhead from '../../measure/overhead.js'
import type * as processUsage from '../../measure/process-usage.js'
import * as format from './format.js'

const defaults = { pairs: '500', calls: '2000', concurrency: '1,8,32,128', maxTokens: '8', promptCharacters: '300', seed: '1' } as const

function wholeNumber (name: string, text: string): number {
  const value = Number(text)
  if (Number.isSafeInteger(value) && value > 0) return value
  throw new clipanion.UsageError(`--${name}: expected a whole number above 0, got ${text}`)
}

/** Reads `NAME=PID`. */
function watchedProcess (text: string): processUsage.WatchedProcess {
  const [name, pid, ...rest] = text.split('=')
  if (name === undefined || name === '' || pid === undefined || rest.length > 0) throw new clipanion.UsageError(`--process: expected NAME=PID, got ${text}`)
  return { name, pid: wholeNumber('process', pid) }
}

export class OverheadCommand extends clipanion.Command {
  static override readonly paths = [['overhead']]
  static override readonly usage = clipanion.Command.Usage({
    description: 'Measure what entry and home add to a call, against the same engine called directly.',
    details: `
      Sends the same short calls to an engine directly and through an entry, in turn, and prints first text and whole
      answer of both, their paired difference, calls a second at several numbers of concurrent calls, and the processor
      time and memory of the processes named. Only for an engine that answers at once; the load is real.
    `,
    examples: [['Measure a system on this machine', '$0 overhead --entry http://127.0.0.1:7301 --token SECRET --engine http://127.0.0.1:9001 --model quote-8b --kind roster-walk --process entry=4711']]
  })

  entry = clipanion.Option.String('--entry', { required: true, description: 'Address of an entry for callers' })
  token = clipanion.Option.String('--token', { required: true, description: 'Token of a client with high limits' })
  engine = clipanion.Option.String('--engine', { required: true, description: 'Address of one engine of the model' })
  model = clipanion.Option.String('--model', { required: true, description: 'Model to call' })
  kind = clipanion.Option.String('--kind', { required: true, description: 'Kind of the programs started' })
  pairs = clipanion.Option.String('--pairs', defaults.pairs, { description: 'Pairs of calls one after another' })
  calls = clipanion.Option.String('--calls', defaults.calls, { description: 'Calls at each number of concurrent calls' })
  concurrency = clipanion.Option.String('--concurrency', defaults.concurrency, { description: 'Numbers of concurrent calls, by commas' })
  maxTokens = clipanion.Option.String('--max-tokens', defaults.maxTokens, { description: 'Tokens of one answer' })
  promptCharacters = clipanion.Option.String('--prompt-characters', defaults.promptCharacters, { description: 'Length of one prompt' })
  seed = clipanion.Option.String('--seed', defaults.seed, { description: 'Seed of the prompts' })
  process = clipanion.Option.Array('--process', [], { description: 'NAME=PID of a process of this machine to watch' })
  json = clipanion.Option.Boolean('--json', false, { description: 'Print the report as JSON' })

  async execute (): Promise<number> {
    const report = await overhead.measureOverhead({
      entry: this.entry,
      token: this.token,
      engine: this.engine,
      model: this.model,
      kind: this.kind,
      pairs: wholeNumber('pairs', this.pairs),
      calls: wholeNumber('calls', this.calls),
      concurrency: this.concurrency.split(',').map((text) => wholeNumber('concurrency', text)),
      maxTokens: wholeNumber('max-tokens', this.maxTokens),
      promptCharacters: wholeNumber('prompt-characters', this.promptCharacters),
      seed: wholeNumber('seed', this.seed),
      processes: this.process.map(watchedProcess),
      onProgress: (line) => this.context.stderr.write(`${line}\n`)
    })
    this.context.stdout.write(`${this.json ? JSON.stringify(report, null, 2) : format.formatReport(report)}\n`)
    return 0
  }
}
