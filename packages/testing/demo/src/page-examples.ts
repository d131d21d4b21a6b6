/** The examples of a page of the documentation: commands behind `$ `, each with the output that it shows. */

export interface PageExample {
  readonly command: string
  /** `…` stands for any text. */
  readonly output: string
}

/** A command goes on over lines that end in a backslash. */
const commandPattern = /^((?:[^\n]*\\\n)*[^\n]*)\n?([\s\S]*)$/

export function examplesOf (page: string): readonly PageExample[] {
  const blocks = [...page.matchAll(/```console\n([\s\S]*?)```/g)].map(([, block]) => block!)
  return blocks.flatMap((block) => block.split(/^\$ /m).slice(1)).map((text) => {
    const [, command, output] = commandPattern.exec(text.trimEnd())!
    return { command: command!, output: output! }
  })
}

export function outputPattern (output: string): RegExp {
  const pieces = output.split('…').map((piece) => piece.replace(/[.*+?^${}()|[\]\\]/g, '\\$&'))
  return new RegExp(`^${pieces.join('[^]*')}$`)
}
