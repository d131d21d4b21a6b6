/** Program that opens many connections to one port and keeps them open; see `crowd.ts`. */
import events from 'node:events'
import * as net from 'node:net'
import type * as crowds from './crowd.js'

const plan = JSON.parse(process.argv[2]!) as crowds.CrowdPlan
/** Connections that are being opened at a time: fewer than an accept queue holds. */
const maxOpening = 50

const sockets: net.Socket[] = []
const toldToSend = events.once(process.stdin, 'data')

/** Opens a connection and sends the plan's bytes; resolves once they are with the kernel, the server has answered if asked to wait, or the connection has ended. */
async function open (): Promise<void> {
  const socket = net.connect(plan.port, '127.0.0.1')
  sockets.push(socket)
  const closed = new Promise<void>((resolve) => { socket.once('close', () => { resolve() }) })
  // The server may refuse the connection; its end is all that matters here.
  socket.on('error', () => {})
  if (!plan.reads) socket.pause()
  await Promise.race([closed, events.once(socket, 'connect').then(() => send(socket, closed), () => undefined)])
}

async function send (socket: net.Socket, closed: Promise<void>): Promise<void> {
  const answered = plan.awaitsAnswer ? events.once(socket, 'data').catch(() => undefined) : undefined
  if (plan.reads) socket.on('data', () => {})
  if (plan.head !== '') await write(socket, plan.head, closed)
  if (plan.waits) void toldToSend.then(() => sendRepeated(socket, closed))
  else await sendRepeated(socket, closed)
  await Promise.race([closed, answered])
}

async function sendRepeated (socket: net.Socket, closed: Promise<void>): Promise<void> {
  for (let count = 0; count < plan.repeats && socket.writable; count += 1) {
    // Without a reader at the other end the bytes would collect in this process.
    if (!await write(socket, plan.repeated, closed)) return
  }
}

/** False once the connection has ended, or takes no more bytes. */
async function write (socket: net.Socket, text: string, closed: Promise<void>): Promise<boolean> {
  if (socket.write(text)) return true
  const drained = new Promise<boolean>((resolve) => { socket.once('drain', () => { resolve(true) }) })
  const stalled = new Promise<boolean>((resolve) => { setTimeout(resolve, plan.stallMs, false).unref() })
  return await Promise.race([drained, stalled, closed.then(() => false)])
}

async function openAll (): Promise<void> {
  const lane = async (): Promise<void> => { while (sockets.length < plan.count) await open() }
  await Promise.all(Array.from({ length: maxOpening }, lane))
  for (const [index, socket] of sockets.entries()) if (index % plan.leavesEach === 0) socket.destroy()
  process.stdout.write('sent\n')
}

// Ends with the process that started it.
process.stdin.on('end', () => { process.exit(0) })
await openAll()
