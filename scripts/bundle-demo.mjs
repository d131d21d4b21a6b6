// Bundles the demo beside the place of its compiled form: it finds the binaries from there.
import { bundleFromSources } from './bundle-from-sources.mjs'
import { dirOf } from './packages.mjs'

const dir = dirOf('demo')
await bundleFromSources(`${dir}/src/main.ts`, `${dir}/dist/src/demo-bundle.mjs`)
