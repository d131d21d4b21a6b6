/** Plain tables for a terminal. */

/** Columns two spaces apart, each as wide as its widest cell. */
export function formatTable (headings: readonly string[], rows: readonly (readonly string[])[]): string {
  const lines = [headings, ...rows]
  const widths = headings.map((_, column) => Math.max(...lines.map((line) => line[column]?.length ?? 0)))
  return lines.map((line) => line.map((cell, column) => cell.padEnd(widths[column]!)).join('  ').trimEnd()).join('\n')
}
