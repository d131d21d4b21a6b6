// Bundles the demo beside the place of its compiled form: it finds the binaries from there.
import { bundleFromSources } from './bundle-from-sources.mjs'

await bundleFromSources('packages/demo/src/main.ts', 'packages/demo/dist/src/demo-bundle.mjs')
