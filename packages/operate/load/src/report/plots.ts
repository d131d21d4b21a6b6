/** Draws plots of a report as SVG. */
import type * as summary from './summary.js'

const width = 720
const height = 260
const margin = { left: 56, right: 12, top: 12, bottom: 36 }
const ticks = 5
const colours = ['#1f77b4', '#d95f02', '#1b9e77', '#7570b3']
const lateColour = '#c00'

export function escapeText (text: string): string {
  return text.replace(/&/g, '&amp;').replace(/</g, '&lt;').replace(/>/g, '&gt;').replace(/"/g, '&quot;')
}

/** Gives the colour of each kind. */
export function kindColours (report: summary.LoadReport): ReadonlyMap<string, string> {
  return new Map(report.kinds.map(({ kind }, index) => [kind, colours[index % colours.length]!]))
}

interface Scale {
  readonly x: (value: number) => number
  readonly y: (value: number) => number
  readonly xMost: number
  readonly yMost: number
}

function createScale (xMost: number, yMost: number): Scale {
  const across = width - margin.left - margin.right
  const down = height - margin.top - margin.bottom
  return {
    x: (value) => margin.left + across * value / xMost,
    y: (value) => margin.top + down * (1 - value / yMost),
    xMost,
    yMost
  }
}

function drawAxes (scale: Scale, xName: string, yName: string): string {
  const parts: string[] = []
  for (let tick = 0; tick <= ticks; tick += 1) {
    const x = scale.xMost * tick / ticks
    const y = scale.yMost * tick / ticks
    parts.push(`<line x1="${margin.left}" x2="${width - margin.right}" y1="${scale.y(y).toFixed(1)}" y2="${scale.y(y).toFixed(1)}" stroke="#ddd"/>`)
    parts.push(`<text x="${margin.left - 6}" y="${(scale.y(y) + 4).toFixed(1)}" text-anchor="end">${formatTick(y)}</text>`)
    parts.push(`<text x="${scale.x(x).toFixed(1)}" y="${height - margin.bottom + 16}" text-anchor="middle">${formatTick(x)}</text>`)
  }
  parts.push(`<text x="${width / 2}" y="${height - 4}" text-anchor="middle">${escapeText(xName)}</text>`)
  parts.push(`<text x="12" y="${height / 2}" text-anchor="middle" transform="rotate(-90 12 ${height / 2})">${escapeText(yName)}</text>`)
  return parts.join('')
}

function formatTick (value: number): string {
  return value >= 10 ? value.toFixed(0) : value.toFixed(1)
}

function drawPlot (name: string, body: string): string {
  return `<svg viewBox="0 0 ${width} ${height}" role="img" aria-label="${escapeText(name)}">${body}</svg>`
}

/** The largest of the values, and at least the given one. */
function most (values: readonly number[], least: number): number {
  return values.reduce((max, value) => Math.max(max, value), least)
}

const leastAxis = 0.001

/** Each finished program: when it was offered, and how long it took; a ring marks those after their deadline. */
export function drawPrograms (report: summary.LoadReport): string {
  const colour = kindColours(report)
  const finished = report.programs.filter(({ end }) => end === 'finished')
  const scale = createScale(report.run.warmUpSeconds + report.run.seconds, most(finished.map(({ latencyMs }) => latencyMs / 1000), leastAxis))
  const points = finished.map((one) => {
    const at = `cx="${scale.x(one.offeredAtMs / 1000).toFixed(1)}" cy="${scale.y(one.latencyMs / 1000).toFixed(1)}"`
    return `<circle ${at} r="3" fill="${colour.get(one.kind)!}"${one.inTime ? '' : ` stroke="${lateColour}" stroke-width="2"`}/>`
  })
  return drawPlot('Latency of programs by when they were offered', drawAxes(scale, 'offered at, s', 'latency, s') + points.join(''))
}

/** Share of the finished programs of each kind that took at most so long. */
export function drawDistribution (report: summary.LoadReport): string {
  const finished = report.programs.filter(({ end }) => end === 'finished')
  const scale = createScale(most(finished.map(({ latencyMs }) => latencyMs / 1000), leastAxis), 100)
  const lines = [...kindColours(report)].map(([kind, colour]) => {
    const sorted = finished.filter((one) => one.kind === kind).map(({ latencyMs }) => latencyMs / 1000).sort((a, b) => a - b)
    const points = sorted.map((seconds, index) => `${scale.x(seconds).toFixed(1)},${scale.y(100 * (index + 1) / sorted.length).toFixed(1)}`)
    return `<polyline fill="none" stroke="${colour}" stroke-width="2" points="${points.join(' ')}"/>`
  })
  return drawPlot('Distribution of program latency', drawAxes(scale, 'latency, s', 'programs, %') + lines.join(''))
}
