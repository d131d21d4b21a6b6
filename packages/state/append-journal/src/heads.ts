/** The index of a shard: where each program's chain stands, and which log records hold it, but no history. */
import * as programState from '@eelgrasswind/program-state'
import * as types from '@eelgrasswind/types'

/** A program's place in its chain, and where its records are. */
export interface HeadPoint extends programState.ChainHead {
  /** Position of the begin or snapshot that the state starts from. */
  readonly base: types.Term
  /** Log time of that record. */
  readonly baseAt: types.EpochMs
  /** Log records that hold the state: the base and every later one, in order. */
  readonly offsets: types.LogOffset[]
}

type HeadChain = programState.ChainView<HeadPoint>

/** Programs looked at for each record, whether they may be forgotten: so that the cost does not grow with their number. */
const sweptPerRecord = 2

const headRules: programState.HeadHandlers<HeadPoint> = {
  createFromBegin: (record, position, at) => baseOf(programState.createHeadFromBegin(record, position, at), position, at),
  createFromSnapshot: (record, position, at) => baseOf(programState.createHeadFromSnapshot(record, position, at), position, at),
  applyContent: (head, record, position) => {
    if (record.type === 'snapshot') Object.assign(head, baseOf(head, position, head.lastAppliedAt))
    else addOffset(head.offsets, types.offsetOf(position))
    return programState.applied
  }
}

/** Member by member, as a spread makes objects that take half as much memory again. */
function baseOf ({ term, n, home, finished, lastAppliedAt, isComplete }: programState.ChainHead, position: types.Term, at: types.EpochMs): HeadPoint {
  return { term, n, home, finished, lastAppliedAt, isComplete, base: position, baseAt: at, offsets: [types.offsetOf(position)] }
}

function addOffset (offsets: types.LogOffset[], offset: types.LogOffset): void {
  if (offsets.at(-1) !== offset) offsets.push(offset)
}

export class Heads {
  private readonly chains = new Map<types.ProgramId, HeadChain>()
  /** The latest home seen on each host. */
  private readonly homes = new Map<types.HostId, types.ProcessRef>()
  private unswept = this.chains.entries()

  get size (): number {
    return this.chains.size
  }

  apply (record: types.JournalRecord, position: types.Term, context: programState.ReadContext): programState.Effect {
    const known = this.chains.get(record.program)
    const { chain, effect } = programState.applyToChain(known, record, position, context, headRules)
    if (known === undefined && chain !== undefined) this.chains.set(record.program, chain)
    if (chain?.current !== undefined) chain.current.home = this.shareHome(chain.current.home)
    this.sweep(context)
    return effect
  }

  chainOf (program: types.ProgramId): HeadChain | undefined {
    return this.chains.get(program)
  }

  clear (): void {
    this.chains.clear()
    this.homes.clear()
  }

  /** One object for all programs of a home, as each record brings its own. */
  private shareHome (home: types.ProcessRef): types.ProcessRef {
    const known = this.homes.get(home.host)
    if (known !== undefined && programState.isSameProcess(known, home)) return known
    this.homes.set(home.host, home)
    return home
  }

  /** Forgets some of the programs whose ids are free again; every reader treats them as if they had never been. */
  private sweep (context: programState.ReadContext): void {
    for (let count = 0; count < sweptPerRecord; count += 1) {
      const entry = this.unswept.next()
      if (entry.done === true) {
        this.unswept = this.chains.entries()
        return
      }
      const [program, chain] = entry.value
      if (isForgotten(chain, context)) this.chains.delete(program)
    }
  }
}

function isForgotten (chain: HeadChain, context: programState.ReadContext): boolean {
  if (chain.current !== undefined) return programState.canBeginAgain(chain.current, context)
  return context.at - (chain.lastSeenAt ?? context.at) >= context.rules.idleTimeoutMs
}
