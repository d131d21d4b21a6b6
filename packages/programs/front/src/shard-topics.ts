/** Names of the topics that hold the shards. */

/** The topics over which the shards are spread, in order. */
export function listShardTopics (count: number): string[] {
  return Array.from({ length: count }, (_, index) => `keyed.turns-${index}`)
}
