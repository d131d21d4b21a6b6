// Standard style, namespace imports for our own modules, and the layers of docs/architecture.md.
import neostandard from 'neostandard'
import * as path from 'node:path'
import * as layers from './scripts/layers.mjs'
import { packageDirs } from './scripts/packages.mjs'

const scope = '@eelgrasswind/'
const fromOwn = 'ImportDeclaration[source.value=/^(@eelgrasswind\\u002F|\\.)/]'

const groupOf = new Map([...packageDirs()].map(([name, dir]) => [name, path.basename(path.dirname(dir))]))

/** Packages of the groups that stand above a package's own. */
function above (name) {
  const rank = layers.groups.indexOf(groupOf.get(name))
  return [...groupOf].filter(([, group]) => layers.groups.indexOf(group) > rank).map(([other]) => other)
}

const layerRules = layers.all.map(({ name, allowed }) => ({
  files: [`packages/*/${name}/src/**/*.ts`],
  ignores: ['**/*.test.ts'],
  rules: {
    'no-restricted-imports': ['error', {
      patterns: [
        { regex: `^${scope}(?!(${allowed.join('|') || '-'})$)`, message: 'docs/architecture.md does not allow this import.' },
        { regex: `^${scope}(${above(name).join('|') || '-'})$`, message: 'A group of packages imports none of the groups above it.' }
      ]
    }]
  }
}))

export default [
  { ignores: ['target/**', '**/dist/**', '**/gen/**', '**/node_modules/**', 'out/**', '.tap/**'] },
  ...neostandard({ ts: true }),
  {
    files: ['packages/**/*.ts', 'platform/**/*.ts'],
    rules: {
      'no-redeclare': 'off',
      'no-void': ['error', { allowAsStatement: true }],
      'no-use-before-define': 'off',
      '@typescript-eslint/no-use-before-define': 'off',
      '@typescript-eslint/consistent-type-imports': ['error', { disallowTypeAnnotations: false }],
      '@typescript-eslint/no-explicit-any': 'error',
      'max-lines': ['error', { max: 400, skipBlankLines: true, skipComments: true }],
      'max-lines-per-function': ['error', { max: 120, skipBlankLines: true, skipComments: true }],
      'no-restricted-syntax': ['error',
        { selector: `${fromOwn} > ImportSpecifier`, message: 'Import our own modules as a namespace.' },
        { selector: `${fromOwn} > ImportDefaultSpecifier`, message: 'Import our own modules as a namespace.' }
      ]
    }
  },
  { files: ['**/*.test.ts'], rules: { 'max-lines-per-function': 'off' } },
  ...layerRules
]
