// Bundles each binary into one file: packages/GROUP/NAME/dist/BINARY.mjs.
import { bundleFromSources } from './bundle-from-sources.mjs'
import { dirOf } from './packages.mjs'

const binaries = [
  { name: 'entry', binary: 'eelgrasswind-entry' },
  { name: 'sidecar', binary: 'eelgrasswind-sidecar' },
  { name: 'cli', binary: 'eelgrasswind' },
  { name: 'load', binary: 'eelgrasswind-load' },
  { name: 'stand-ins', binary: 'eelgrasswind-stand-in' }
]

await Promise.all(binaries.map(({ name, binary }) => bundleFromSources(`${dirOf(name)}/src/main.ts`, `${dirOf(name)}/dist/${binary}.mjs`, { executable: true })))
