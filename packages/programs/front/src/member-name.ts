/** Names of group members, which contain the address at which a member accepts requests of its peers. */

const separator = '@'

/** Formats a member name: HOST@IP:PORT. */
export function formatMemberName (host: string, peerAddress: string): string {
  return `${host}${separator}${peerAddress}`
}

/** IP:PORT at which the member accepts requests of its peers. */
export function parsePeerAddress (member: string): string {
  return member.slice(member.lastIndexOf(separator) + 1)
}
