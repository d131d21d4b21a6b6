/** Straight-line fits of measured points. */

export interface Point {
  /** How many of what the slope counts. */
  readonly size: number
  readonly value: number
}

export interface Line {
  readonly slope: number
  readonly intercept: number
  /** Share of the variance that the line explains, from 0 to 1; 1 for points that do not vary. */
  readonly r2: number
}

function mean (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}

/** Least-squares line through points of at least two sizes. */
export function fitLine (points: readonly Point[]): Line {
  const meanSize = mean(points.map(({ size }) => size))
  const meanValue = mean(points.map(({ value }) => value))
  let sizeSquares = 0
  let products = 0
  let valueSquares = 0
  for (const { size, value } of points) {
    sizeSquares += (size - meanSize) ** 2
    products += (size - meanSize) * (value - meanValue)
    valueSquares += (value - meanValue) ** 2
  }
  if (sizeSquares === 0) throw new Error('a line needs points of two sizes')
  const slope = products / sizeSquares
  const r2 = valueSquares === 0 ? 1 : (products * slope) / valueSquares
  return { slope, intercept: meanValue - slope * meanSize, r2 }
}

/** Middle value; of an even number of values the mean of the two in the middle. */
export function median (values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b)
  const middle = sorted.length >> 1
  return sorted.length % 2 === 1 ? sorted[middle]! : (sorted[middle - 1]! + sorted[middle]!) / 2
}
