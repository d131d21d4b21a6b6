// Creates the skeleton of a workspace package: node scripts/make-package.mjs GROUP NAME "ONE LINE" [--private] [DEP ...]
import * as fs from 'node:fs'
import * as path from 'node:path'

const [group, name, line, ...rest] = process.argv.slice(2)
const isPrivate = rest.includes('--private')
const deps = rest.filter((word) => word !== '--private')
const dir = path.join('packages', group, name)
if (fs.existsSync(path.join(dir, 'package.json'))) throw new Error(`${dir} exists`)
fs.mkdirSync(path.join(dir, 'src'), { recursive: true })
const dependencies = Object.fromEntries(deps.sort().map((dep) => {
  if (!dep.includes('#')) return [`@eelgrasswind/${dep}`, '0.1.0']
  const [external, range] = dep.split('#')
  return [external, range]
}))
const manifest = {
  name: `@eelgrasswind/${name}`,
  version: '0.1.0',
  description: line,
  ...(isPrivate ? { private: true } : {}),
  type: 'module',
  exports: { '.': { types: './dist/src/index.d.ts', default: './dist/src/index.js' } },
  files: ['dist'],
  dependencies
}
fs.writeFileSync(path.join(dir, 'package.json'), JSON.stringify(manifest, null, 2) + '\n')
fs.writeFileSync(path.join(dir, 'README.md'), `# @eelgrasswind/${name}\n\n${line}\n`)
fs.writeFileSync(path.join(dir, 'CHANGELOG.md'), `# @eelgrasswind/${name}\n\n## 0.1.0\n\n- First version.\n`)
fs.writeFileSync(path.join(dir, 'src/index.ts'), `/** ${line} */\nexport {}\n`)
