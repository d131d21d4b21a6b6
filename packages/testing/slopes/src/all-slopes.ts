/** Every slope by name, in the order in which they are measured. */
import type * as series from './series.js'
import * as clients from './slopes/clients.js'
import * as compression from './slopes/compression.js'
import * as config from './slopes/config.js'
import * as homes from './slopes/homes.js'
import * as hosts from './slopes/hosts.js'
import * as journal from './slopes/journal.js'
import * as journalReader from './slopes/journal-reader.js'
import * as loadReports from './slopes/load-reports.js'
import * as programs from './slopes/programs.js'
import * as restingFleet from './slopes/resting-fleet.js'
import * as sessions from './slopes/sessions.js'
import * as shareLoads from './slopes/share-load.js'
import * as turnLedgers from './slopes/turn-ledger.js'

export const allSlopes: readonly series.Slope[] = [
  hosts.hosts,
  homes.homes,
  loadReports.loadReports,
  clients.clients,
  config.config,
  programs.programs,
  journal.journal,
  journal.takeover,
  journalReader.journalReader,
  compression.compression,
  sessions.sessions,
  turnLedgers.turnLedgers,
  shareLoads.shareLoads,
  restingFleet.restingFleet
]
