/** What a slope measures: series of points, each fitted to a line. */
import * as fits from './fit.js'

export interface Series {
  readonly name: string
  /** What the sizes count, in the singular. */
  readonly per: string
  readonly unit: 'bytes' | 'us'
  /** Points of each repetition. */
  readonly runs: readonly (readonly fits.Point[])[]
}

export interface Slope {
  readonly name: string
  readonly measure: () => Promise<readonly Series[]>
}

/** The line of a series, and how far the repetitions lie apart. */
export interface FittedSeries {
  readonly slope: string
  readonly series: string
  readonly per: string
  readonly unit: Series['unit']
  readonly perEntry: number
  readonly least: number
  readonly most: number
  readonly fixed: number
  readonly r2: number
  readonly points: readonly fits.Point[]
}

/** Fits each repetition; the median is the result and the extremes are the spread. */
export function fitSeries (slope: string, series: Series): FittedSeries {
  const lines = series.runs.map(fits.fitLine)
  const slopes = lines.map((line) => line.slope)
  const sizes = series.runs[0]!.map(({ size }) => size)
  return {
    slope,
    series: series.name,
    per: series.per,
    unit: series.unit,
    perEntry: fits.median(slopes),
    least: Math.min(...slopes),
    most: Math.max(...slopes),
    fixed: fits.median(lines.map((line) => line.intercept)),
    r2: fits.median(lines.map((line) => line.r2)),
    points: sizes.map((size, index) => ({ size, value: fits.median(series.runs.map((run) => run[index]!.value)) }))
  }
}

/** Measures a quantity at each size, several times. */
export function repeat (times: number, sizes: readonly number[], measure: (size: number) => number): fits.Point[][] {
  return Array.from({ length: times }, () => sizes.map((size) => ({ size, value: measure(size) })))
}

/** As repeat, for measurements that end later. */
export async function repeatAsync (times: number, sizes: readonly number[], measure: (size: number) => Promise<number>): Promise<fits.Point[][]> {
  const runs: fits.Point[][] = []
  for (let run = 0; run < times; run += 1) {
    const points: fits.Point[] = []
    for (const size of sizes) points.push({ size, value: await measure(size) })
    runs.push(points)
  }
  return runs
}

function short (value: number): string {
  const size = Math.abs(value)
  if (size >= 100) return value.toFixed(0)
  return size >= 1 ? value.toFixed(1) : value.toFixed(3)
}

/** One row of the table of docs/results/slopes.md. */
export function tableRow (fitted: FittedSeries): string {
  const points = fitted.points.map(({ size, value }) => `${size}: ${short(value)}`).join(', ')
  return `| ${fitted.slope} | ${fitted.series} | ${short(fitted.perEntry)} ${fitted.unit} a ${fitted.per} | ${short(fitted.least)} to ${short(fitted.most)} | ${short(fitted.fixed)} | ${fitted.r2.toFixed(3)} | ${points} |`
}

export const tableHead = `| slope | what | per entry | spread | fixed part | r² | medians by size |
|---|---|---|---|---|---|---|`
