/** `run` */
import * as fs from 'node:fs'
import * as clipanion from 'clipanion'
import * as runWorkload from '../../drive/run-workload.js'
import * as html from '../../report/html.js'
import * as summary from '../../report/summary.js'
import * as text from '../../report/text.js'
import * as plan from '../../workload/plan.js'
import * as options from './options.js'

/** What `run` exits with; a usage error exits with 1, as for every command. */
export const exitCode = {
  done: 0,
  /** A request that must not be repeated ran again. */
  ranAgain: 2,
  /** No program could be started. */
  noneStarted: 3,
  /** A report could not be written. */
  notWritten: 4
} as const

export class RunCommand extends clipanion.Command {
  static override readonly paths = [['run']]
  static override readonly usage = clipanion.Command.Usage({
    description: 'Run a seeded workload of a deployment against a running system.',
    details: `
      Offers programs at random times, on average at the given rate, whether or not those before have ended. A refused
      start comes back once after its Retry-After. Prints latency of whole programs, the weighted share in time,
      refusals, failures by code and verdict, repeated keys, and prompt tokens computed and cached.

      The configuration must have the kinds of the deployment, its model (quote-8b or mentor-8b) and its service
      (kit-orders or placements). Addresses must be on loopback; at most 50 programs a second for 300 seconds, warm-up
      included.

      Exit codes: 0 the run is done; 1 wrong usage; 2 a request that must not be repeated ran again; 3 no program could
      be started; 4 a report could not be written.
    `,
    examples: [
      ['Kit orders for 30 seconds', '$0 run --entry http://127.0.0.1:7301 --token SECRET --deployment dimasalang --seed 1 --rate 3 --seconds 30'],
      ['Placements through two entries, with both reports', '$0 run --entry http://127.0.0.1:7301 --entry http://127.0.0.1:7302 --token SECRET --deployment shagyl --seed 1 --rate 2 --seconds 60 --json load.json --report load.html'],
      ['Engines five times as fast as those of the deployment', '$0 run --entry http://127.0.0.1:7301 --token SECRET --deployment shagyl --seed 1 --rate 2 --seconds 30 --time-scale 0.2']
    ]
  })

  entry = clipanion.Option.Array('--entry', [], { description: 'Address of an entry for callers; may be given again' })
  token = clipanion.Option.String('--token', { required: true, description: 'Token of a client with high limits' })
  deployment = clipanion.Option.String('--deployment', { required: true, description: 'dimasalang or shagyl' })
  seed = clipanion.Option.String('--seed', { required: true, description: 'Seed of the workload' })
  rate = clipanion.Option.String('--rate', { required: true, description: 'Programs offered a second, on average' })
  seconds = clipanion.Option.String('--seconds', { required: true, description: 'For how long programs are offered' })
  warmUp = clipanion.Option.String('--warm-up', '0', { description: 'Seconds of load before, whose programs are not reported' })
  drain = clipanion.Option.String('--drain', '60', { description: 'Seconds that programs may go on after the last was offered' })
  timeScale = clipanion.Option.String('--time-scale', '1', { description: 'Multiplies pauses, tool timeouts and deadlines' })
  json = clipanion.Option.String('--json', { description: 'File for the report as JSON' })
  report = clipanion.Option.String('--report', { description: 'File for the report as a page with plots' })

  async execute (): Promise<number> {
    const run = options.readOptions(this)
    const { entries, token, deployment, seed, rate, warmUpSeconds, seconds, timeScale } = run
    const programs = plan.planWorkload({ deployment, seed, rate, seconds: warmUpSeconds + seconds, timeScale })
    const onProgress = (line: string): void => { this.context.stderr.write(`${line}\n`) }
    const recorded = await runWorkload.runWorkload({ entries, token, model: deployment.model, service: deployment.service, seed, drainMs: run.drainSeconds * 1000, onProgress }, programs)
    const report = summary.createReport({ deployment: deployment.name, seed, rate, warmUpSeconds, seconds, timeScale }, recorded)
    this.context.stdout.write(`${text.formatReport(report)}\n`)
    return this.writeFiles(report) ? exitCodeOf(report) : exitCode.notWritten
  }

  private writeFiles (report: summary.LoadReport): boolean {
    try {
      if (this.json !== undefined) fs.writeFileSync(this.json, `${JSON.stringify(report, null, 2)}\n`)
      if (this.report !== undefined) fs.writeFileSync(this.report, html.formatPage(report))
      return true
    } catch (err) {
      this.context.stderr.write(`the report was not written: ${err instanceof Error ? err.message : String(err)}\n`)
      return false
    }
  }
}

export function exitCodeOf (report: summary.LoadReport): number {
  if (report.repeats.ranAgain > 0) return exitCode.ranAgain
  if (report.offered > 0 && report.ends.refused === report.offered) return exitCode.noneStarted
  return exitCode.done
}
