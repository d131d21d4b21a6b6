// Bundles the front process into target/.
import { bundleFromSources } from './bundle-from-sources.mjs'

await bundleFromSources('platform/src/main.ts', 'target/eelgrasswind-front.mjs')
