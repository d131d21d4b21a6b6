// Bundles a program of this workspace straight from TypeScript: no compiler has to run before.
import * as fs from 'node:fs'
import * as esbuild from 'esbuild'
import { dirOf } from './packages.mjs'

const scope = '@eelgrasswind/'
// Some libraries are CommonJS and call require for Node's own modules.
const requireShim = "import { createRequire as createRequireForBundle } from 'node:module'; const require = createRequireForBundle(import.meta.url);"

// Packages of this workspace are read from their sources.
const fromSources = {
  name: 'from-sources',
  setup (build) {
    build.onResolve({ filter: new RegExp(`^${scope}`) }, ({ path }) => {
      const name = path.slice(scope.length)
      return { path: fs.realpathSync(`${dirOf(name)}/src/index.ts`) }
    })
    build.onResolve({ filter: /^\.{1,2}\/.*\.js$/ }, ({ path, importer }) => {
      if (!importer.endsWith('.ts')) return undefined
      return { path: new URL(path.replace(/\.js$/, '.ts'), `file://${importer}`).pathname }
    })
  }
}

/** Writes the program that begins in `entryPoint` to `outfile`; executable: with a first line for the shell. */
export async function bundleFromSources (entryPoint, outfile, { executable = false } = {}) {
  await esbuild.build({
    entryPoints: [entryPoint],
    outfile,
    bundle: true,
    platform: 'node',
    format: 'esm',
    target: 'node20',
    mainFields: ['module', 'main'],
    banner: { js: executable ? `#!/usr/bin/env node\n${requireShim}` : requireShim },
    external: ['dtrace-provider', 'mv', 'source-map-support', 'unix-dgram'],
    plugins: [fromSources],
    logLevel: 'warning'
  })
  if (executable) fs.chmodSync(outfile, 0o755)
}
