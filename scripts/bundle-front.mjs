// Bundles the front process straight from TypeScript into target/: no compiler and no tests are needed.
import * as fs from 'node:fs'
import * as esbuild from 'esbuild'

const scope = '@eelgrasswind/'
const requireShim = "import { createRequire as createRequireForBundle } from 'node:module'; const require = createRequireForBundle(import.meta.url);"

// Packages of this workspace are read from their sources.
const fromSources = {
  name: 'from-sources',
  setup (build) {
    build.onResolve({ filter: new RegExp(`^${scope}`) }, ({ path }) => {
      const name = path.slice(scope.length)
      const dir = name === 'platform' ? 'platform' : `packages/${name}`
      return { path: fs.realpathSync(`${dir}/src/index.ts`) }
    })
    build.onResolve({ filter: /^\.{1,2}\/.*\.js$/ }, ({ path, importer }) => {
      if (!importer.endsWith('.ts')) return undefined
      const file = new URL(path.replace(/\.js$/, '.ts'), `file://${importer}`).pathname
      return { path: file }
    })
  }
}

await esbuild.build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/eelgrasswind-front.mjs',
  bundle: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  mainFields: ['module', 'main'],
  banner: { js: requireShim },
  external: ['dtrace-provider', 'mv', 'source-map-support', 'unix-dgram'],
  plugins: [fromSources],
  logLevel: 'warning'
})
