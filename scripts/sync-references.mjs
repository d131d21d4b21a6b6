// Writes each package's tsconfig.json from its dependencies; with --check, fails where one is out of date.
import * as fs from 'node:fs'
import * as path from 'node:path'
import { packageDirs } from './packages.mjs'

const check = process.argv.includes('--check')
const scope = '@eelgrasswind/'
const dirs = packageDirs()
let stale = 0

function write (file, value) {
  const text = JSON.stringify(value, null, 2) + '\n'
  if (fs.existsSync(file) && fs.readFileSync(file, 'utf8') === text) return
  stale += 1
  if (check) console.error(`${file} is out of date; run npm run format`)
  else fs.writeFileSync(file, text)
}

for (const dir of dirs.values()) {
  const manifest = JSON.parse(fs.readFileSync(path.join(dir, 'package.json'), 'utf8'))
  const deps = Object.keys({ ...manifest.dependencies, ...manifest.devDependencies })
    .filter((dep) => dep.startsWith(scope))
    .map((dep) => ({ path: path.relative(dir, dirs.get(dep.slice(scope.length))) }))
  write(path.join(dir, 'tsconfig.json'), {
    extends: path.relative(dir, 'tsconfig.base.json'),
    compilerOptions: { rootDir: '.', outDir: 'dist', tsBuildInfoFile: 'dist/tsconfig.tsbuildinfo' },
    include: ['src'],
    references: deps
  })
}
write('tsconfig.json', { files: [], references: [...dirs.values()].map((dir) => ({ path: dir })) })
process.exit(check && stale > 0 ? 1 : 0)
