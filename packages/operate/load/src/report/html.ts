/** Writes a report as one static page. */
import * as plots from './plots.js'
import type * as summary from './summary.js'
import * as text from './text.js'

const style = 'body{font:15px/1.5 system-ui,sans-serif;max-width:60rem;margin:2rem auto;padding:0 1rem}' +
  'th{text-align:left;padding-right:1.5rem;vertical-align:top;white-space:nowrap}svg{width:100%;font-size:11px}'

function tableRow ({ name, value }: text.ReportLine): string {
  return `<tr><th scope="row">${plots.escapeText(name)}</th><td>${plots.escapeText(value)}</td></tr>`
}

function legend (report: summary.LoadReport): string {
  return [...plots.kindColours(report)].map(([kind, colour]) => `<span style="color:${colour}">&#9679; ${plots.escapeText(kind)}</span>`).join(' ')
}

export function formatPage (report: summary.LoadReport): string {
  const title = `Load: ${plots.escapeText(text.formatRun(report.run))}`
  return [
    '<!doctype html>',
    `<html lang="en"><head><meta charset="utf-8"><title>${title}</title><style>${style}</style></head><body>`,
    `<h1>${title}</h1>`,
    `<table>${text.reportLines(report).map(tableRow).join('\n')}</table>`,
    `<h2>Programs</h2><p>${legend(report)}; a red ring marks a program that finished after its deadline. Only finished programs are shown.</p>`,
    plots.drawPrograms(report),
    '<h2>Distribution of program latency</h2>',
    plots.drawDistribution(report),
    '</body></html>',
    ''
  ].join('\n')
}
