/** What the kernel says of a process of this machine: its processor time and resident memory. */
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'

/** A process to watch, under the name it has in the report. */
export interface WatchedProcess {
  readonly name: string
  readonly pid: number
}

export interface ProcessUsage {
  /** User and system time since its start, in milliseconds. */
  readonly cpuMs: number
  readonly residentMiB: number
}

/** Fields of /proc/PID/stat, counted from the one behind the command name. */
const userTicksField = 11
const systemTicksField = 12
const kibPerMib = 1024
const msPerSecond = 1000

const ticksPerSecond = Number(childProcess.execFileSync('getconf', ['CLK_TCK'], { encoding: 'utf8' }))

/** The name in brackets may hold spaces, so fields are counted from its end. */
function cpuMsOf (stat: string): number {
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  const ticks = Number(fields[userTicksField]) + Number(fields[systemTicksField])
  return ticks * msPerSecond / ticksPerSecond
}

function residentMiBOf (status: string): number {
  const match = /^VmRSS:\s+(\d+) kB$/m.exec(status)
  return match === null ? 0 : Number(match[1]) / kibPerMib
}

export function readUsage (pid: number): ProcessUsage {
  return {
    cpuMs: cpuMsOf(fs.readFileSync(`/proc/${pid}/stat`, 'utf8')),
    residentMiB: residentMiBOf(fs.readFileSync(`/proc/${pid}/status`, 'utf8'))
  }
}
