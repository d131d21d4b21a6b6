/** Suggests a known name for a misspelt one. */

/** Maximum edit distance, as a fraction of the length of the longer name. */
const maxEditFraction = 0.4

/** Levenshtein distance of two names; the caller converts them to lower case. */
function computeEditDistance (a: string, b: string): number {
  let previous = Array.from({ length: b.length + 1 }, (_, column) => column)
  for (let row = 1; row <= a.length; row += 1) {
    const current = [row]
    for (let column = 1; column <= b.length; column += 1) {
      const replacementCost = previous[column - 1]! + (a[row - 1] === b[column - 1] ? 0 : 1)
      current.push(Math.min(replacementCost, previous[column]! + 1, current[column - 1]! + 1))
    }
    previous = current
  }
  return previous[b.length]!
}

/** Returns the known name that is nearest to `name`, ignoring case, or undefined if none is near enough. */
export function findNearestName (name: string, known: readonly string[]): string | undefined {
  let nearest: string | undefined
  let minEdits = Infinity
  for (const candidate of known) {
    const edits = computeEditDistance(name.toLowerCase(), candidate.toLowerCase())
    const maxEdits = Math.max(1, Math.floor(Math.max(name.length, candidate.length) * maxEditFraction))
    if (edits > maxEdits || edits >= minEdits) continue
    minEdits = edits
    nearest = candidate
  }
  return nearest
}
