/** Writes docs/settings.md; run from the root of the workspace. */
import * as fs from 'node:fs'
import * as settingsReference from './settings-reference.js'

fs.writeFileSync('docs/settings.md', settingsReference.settingsReference())
