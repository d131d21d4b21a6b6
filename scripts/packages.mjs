// Where the packages lie: packages/GROUP/NAME, and the adapter of the platform beside them.
import * as fs from 'node:fs'
import * as path from 'node:path'

const root = 'packages'

/** The folder of every package, by its name without scope. */
export function packageDirs () {
  const dirs = new Map()
  for (const group of fs.readdirSync(root).sort()) {
    for (const name of fs.readdirSync(path.join(root, group)).sort()) {
      const dir = path.join(root, group, name)
      if (fs.existsSync(path.join(dir, 'package.json'))) dirs.set(name, dir)
    }
  }
  return dirs.set('platform', 'platform')
}

/** The folder of one package. Throws where there is none of that name. */
export function dirOf (name) {
  const dir = packageDirs().get(name)
  if (dir === undefined) throw new Error(`no package is named ${name}`)
  return dir
}
