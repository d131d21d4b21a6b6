/** Finds the known name that a misspelt one was probably meant to be. */

/** Largest share of a name's characters that may differ. */
const maxShareOfEdits = 0.4

/** Number of inserted, removed or replaced characters between two names, capitals not counted. */
function editDistance (a: string, b: string): number {
  let previous = Array.from({ length: b.length + 1 }, (_, column) => column)
  for (let row = 1; row <= a.length; row += 1) {
    const current = [row]
    for (let column = 1; column <= b.length; column += 1) {
      const replaced = previous[column - 1]! + (a[row - 1] === b[column - 1] ? 0 : 1)
      current.push(Math.min(replaced, previous[column]! + 1, current[column - 1]! + 1))
    }
    previous = current
  }
  return previous[b.length]!
}

/** The known name nearest to `name`, or undefined where none is near. */
export function nearestName (name: string, known: readonly string[]): string | undefined {
  let best: string | undefined
  let least = Infinity
  for (const candidate of known) {
    const edits = editDistance(name.toLowerCase(), candidate.toLowerCase())
    const allowed = Math.max(1, Math.floor(Math.max(name.length, candidate.length) * maxShareOfEdits))
    if (edits > allowed || edits >= least) continue
    least = edits
    best = candidate
  }
  return best
}
