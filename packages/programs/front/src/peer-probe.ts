/** Asks a peer whether it lives, once for all that wait for it. */

/** What it takes to ask. */
export interface PeerProbePorts {
  /** Whether a peer answers within its time. */
  readonly ping: (address: string) => Promise<boolean>
}

/** Requests that wait for the same peer share one question. */
export class PeerProbe {
  private readonly asking = new Map<string, Promise<boolean>>()

  constructor (private readonly ports: PeerProbePorts) {}

  /** Whether the peer answers; asks once more before it says no, since a busy process may miss one question. */
  async lives (address: string): Promise<boolean> {
    const known = this.asking.get(address)
    if (known !== undefined) return known
    const answer = this.askTwice(address)
    this.asking.set(address, answer)
    const lives = await answer
    this.asking.delete(address)
    return lives
  }

  private async askTwice (address: string): Promise<boolean> {
    return await this.ports.ping(address) || await this.ports.ping(address)
  }
}
