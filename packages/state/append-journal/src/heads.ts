/** Index of a shard: the head of each program's chain and the log records that hold the program, but no history. */
import * as programState from '@eelgrasswind/program-state'
import * as types from '@eelgrasswind/types'

/** The head of a program's chain and the locations of the program's records. */
export interface IndexedHead extends programState.ChainHead {
  /** Position of the base: the begin or snapshot from which the state can be folded. */
  readonly basePosition: types.Term
  /** Log time of the base. */
  readonly baseAt: types.EpochMs
  /** Offsets of the log records that hold the base and every later record, in ascending order. */
  readonly offsets: types.LogOffset[]
}

type IndexedChain = programState.ChainView<IndexedHead>

/** Programs checked for removal for each applied record, so that the cost of a record does not depend on the number of programs. */
const programsSweptPerRecord = 2

const indexHandlers: programState.HeadHandlers<IndexedHead> = {
  createFromBegin: (record, position, at) => createIndexedHead(programState.createHeadFromBegin(record, position, at), position, at),
  createFromSnapshot: (record, position, at) => createIndexedHead(programState.createHeadFromSnapshot(record, position, at), position, at),
  applyContent: (head, record, position) => {
    if (record.type === 'snapshot') Object.assign(head, createIndexedHead(head, position, head.lastAppliedAt))
    else addOffset(head.offsets, types.toOffset(position))
    return programState.applied
  }
}

/** Lists each member, because a spread creates objects that use half as much memory again. */
function createIndexedHead ({ term, n, home, finished, lastAppliedAt, isComplete }: programState.ChainHead, position: types.Term, at: types.EpochMs): IndexedHead {
  return { term, n, home, finished, lastAppliedAt, isComplete, basePosition: position, baseAt: at, offsets: [types.toOffset(position)] }
}

function addOffset (offsets: types.LogOffset[], offset: types.LogOffset): void {
  if (offsets.at(-1) !== offset) offsets.push(offset)
}

/** Maps each known program to the head of its chain, and drops programs whose ids can be reused. */
export class HeadIndex {
  private readonly chains = new Map<types.ProgramId, IndexedChain>()
  /** The latest home process read for each host. */
  private readonly latestHomes = new Map<types.HostId, types.ProcessRef>()
  private sweepIterator = this.chains.entries()

  get size (): number {
    return this.chains.size
  }

  apply (record: types.JournalRecord, position: types.Term, context: programState.ReadContext): programState.Effect {
    const known = this.chains.get(record.program)
    const { chain, effect } = programState.applyToChain(known, record, position, context, indexHandlers)
    if (known === undefined && chain !== undefined) this.chains.set(record.program, chain)
    if (chain?.current !== undefined) chain.current.home = this.internHome(chain.current.home)
    this.sweep(context)
    return effect
  }

  getChain (program: types.ProgramId): IndexedChain | undefined {
    return this.chains.get(program)
  }

  clear (): void {
    this.chains.clear()
    this.latestHomes.clear()
  }

  /** Returns one shared object for all programs of a home, to save memory: each parsed record has an object of its own. */
  private internHome (home: types.ProcessRef): types.ProcessRef {
    const known = this.latestHomes.get(home.host)
    if (known !== undefined && programState.isSameProcess(known, home)) return known
    this.latestHomes.set(home.host, home)
    return home
  }

  /** Checks the next few programs and drops those whose ids can be reused; every reader treats them as unknown. */
  private sweep (context: programState.ReadContext): void {
    for (let count = 0; count < programsSweptPerRecord; count += 1) {
      const entry = this.sweepIterator.next()
      if (entry.done === true) {
        this.sweepIterator = this.chains.entries()
        return
      }
      const [program, chain] = entry.value
      if (canForget(chain, context)) this.chains.delete(program)
    }
  }
}

function canForget (chain: IndexedChain, context: programState.ReadContext): boolean {
  if (chain.current !== undefined) return programState.canBeginAgain(chain.current, context)
  return context.at - (chain.lastSeenAt ?? context.at) >= context.rules.idleTimeoutMs
}
