// Bundles a program of this workspace straight from TypeScript: no compiler has to run before.
import * as fs from 'node:fs'
import * as path from 'node:path'
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

/** Modules that libraries load if they are installed, for functions that no program uses; together they are some thirty files. */
const optionalModules = ['dtrace-provider', 'mv', 'source-map-support', 'unix-dgram']

// A library that requires one of them finds it not installed, whatever lies beside the bundle.
const withoutOptionalModules = {
  name: 'without-optional-modules',
  setup (build) {
    build.onResolve({ filter: new RegExp(`^(${optionalModules.join('|')})$`) }, ({ path }) => ({ path, namespace: 'not-installed' }))
    build.onLoad({ filter: /.*/, namespace: 'not-installed' }, ({ path }) => ({ contents: `throw Object.assign(new Error("Cannot find module '${path}'"), { code: 'MODULE_NOT_FOUND' })` }))
  }
}

/** A program that is imported dynamically by its entry point, so that something can be done before it is loaded, gets a file of its own. */
function programBeside (name, found) {
  return {
    name: 'program-beside',
    setup (build) {
      build.onResolve({ filter: /^\.\/run-.*\.js$/ }, ({ path: imported, importer, kind }) => {
        if (kind !== 'dynamic-import') return undefined
        found.push(path.join(path.dirname(importer), imported.replace(/\.js$/, '.ts')))
        return { path: `./${name}-program.mjs`, external: true }
      })
    }
  }
}

async function bundle (entryPoint, outfile, firstLines, plugins) {
  await esbuild.build({
    entryPoints: [entryPoint],
    outfile,
    bundle: true,
    platform: 'node',
    format: 'esm',
    target: 'node20',
    mainFields: ['module', 'main'],
    banner: { js: firstLines },
    plugins: [...plugins, withoutOptionalModules],
    logLevel: 'warning'
  })
}

/** Writes the program that begins in `entryPoint` to `outfile`; executable: with a first line for the shell. */
export async function bundleFromSources (entryPoint, outfile, { executable = false } = {}) {
  const { dir, name } = path.parse(outfile)
  const programs = []
  await bundle(entryPoint, outfile, executable ? `#!/usr/bin/env node\n${requireShim}` : requireShim, [programBeside(name, programs), fromSources])
  for (const program of programs) await bundle(program, path.join(dir, `${name}-program.mjs`), requireShim, [fromSources])
  if (executable) fs.chmodSync(outfile, 0o755)
}
