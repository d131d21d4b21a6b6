/** Names of the group's members: they carry the address at which a member takes turns. */

const separator = '@'

/** Name of a member: HOST@IP:PORT. */
export function formatMemberName (host: string, peerAddress: string): string {
  return `${host}${separator}${peerAddress}`
}

/** IP:PORT at which a member takes calls of its peers. */
export function parsePeerAddress (member: string): string {
  return member.slice(member.lastIndexOf(separator) + 1)
}
