/** Writes the pages that are made from code, docs/settings.md and docs/logs.md; run from the root of the workspace. */
import * as fs from 'node:fs'
import * as logsReference from './logs-reference.js'
import * as settingsReference from './settings-reference.js'

fs.writeFileSync('docs/settings.md', settingsReference.settingsReference())
fs.writeFileSync('docs/logs.md', logsReference.logsReference())
