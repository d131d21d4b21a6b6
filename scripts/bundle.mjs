// Bundles each binary into one file: packages/NAME/dist/BINARY.mjs.
import * as fs from 'node:fs'
import * as esbuild from 'esbuild'

const binaries = [
  { name: 'entry', binary: 'eelgrasswind-entry' },
  { name: 'sidecar', binary: 'eelgrasswind-sidecar' },
  { name: 'cli', binary: 'eelgrasswind' },
  { name: 'load', binary: 'eelgrasswind-load' },
  { name: 'stand-ins', binary: 'eelgrasswind-stand-in' }
]

// Some libraries are CommonJS and call require for Node's own modules.
const requireShim = "import { createRequire as createRequireForBundle } from 'node:module'; const require = createRequireForBundle(import.meta.url);"

await Promise.all(binaries.map(async ({ name, binary }) => {
  const main = `packages/${name}/dist/src/main.js`
  if (!fs.existsSync(main)) return
  const outfile = `packages/${name}/dist/${binary}.mjs`
  await esbuild.build({
    entryPoints: [main],
    outfile,
    bundle: true,
    platform: 'node',
    format: 'esm',
    target: 'node20',
    mainFields: ['module', 'main'],
    banner: { js: `#!/usr/bin/env node\n${requireShim}` },
    external: ['dtrace-provider', 'mv', 'source-map-support', 'unix-dgram'],
    logLevel: 'warning'
  })
  fs.chmodSync(outfile, 0o755)
}))
