/** Compares decision rules over paired seeds: `node dist/src/main.js compare --deployment shagyl --load 0.8 --seeds 10`. */
import * as fs from 'node:fs'
import { Cli, Command, Option } from 'clipanion'
import * as compare from './compare.js'
import * as deployments from './deployments.js'
import * as scenario from './scenario.js'
import * as table from './table.js'
import * as workload from './workload.js'

class CompareCommand extends Command {
  static override readonly paths = [['compare']]
  static override readonly usage = Command.Usage({ description: 'Run choices of rules over the same seeds and print a table.' })

  readonly deployment = Option.String('--deployment', 'dimasalang', { description: 'dimasalang or shagyl' })
  readonly load = Option.String('--load', '0.8', { description: 'offered work as a share of capacity; several by commas' })
  readonly seeds = Option.String('--seeds', '10', { description: 'number of paired seeds' })
  readonly firstSeed = Option.String('--first-seed', '1')
  readonly fault = Option.String('--fault', 'none', { description: scenario.faults.join(', ') })
  readonly rules = Option.Array('--rules', { description: 'baseline or winners, with changes: winners,order=fifo' })
  readonly json = Option.String('--json', { description: 'file for all figures, seed by seed' })

  override async execute (): Promise<void> {
    const comparison = this.#comparison()
    const rows = compare.compare(comparison)
    if (this.json !== undefined) fs.writeFileSync(this.json, JSON.stringify({ comparison, rows }, null, 1) + '\n')
    const perSecond = workload.capacityPerSecond(deployments.deployments[comparison.deployment])
    this.context.stdout.write(`${comparison.deployment}: load 1 is ${perSecond.toFixed(2)} programs a second; fault ${comparison.fault}; ` +
      `seeds ${comparison.firstSeed} to ${comparison.firstSeed + comparison.seeds - 1}\n\n`)
    this.context.stdout.write(table.tableOf(rows, comparison.fault !== 'none') + '\n')
  }

  #comparison (): compare.Comparison {
    const { deployment } = this
    if (deployment !== 'dimasalang' && deployment !== 'shagyl') throw new Error(`unknown deployment "${deployment}"`)
    const fault = scenario.faults.find((name) => name === this.fault)
    if (fault === undefined) throw new Error(`unknown fault "${this.fault}": one of ${scenario.faults.join(', ')}`)
    return {
      deployment,
      loads: this.load.split(',').map(Number),
      seeds: Number(this.seeds),
      firstSeed: Number(this.firstSeed),
      fault,
      rules: this.rules ?? ['baseline', 'winners']
    }
  }
}

const cli = new Cli({ binaryName: 'model-engines', binaryLabel: 'Decision rules on fakes of engines' })
cli.register(CompareCommand)
await cli.runExit(process.argv.slice(2))
