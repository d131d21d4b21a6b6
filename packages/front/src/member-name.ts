/** Names of the group's members: they carry the address at which a member takes turns. */

const separator = '@'

export function memberName (host: string, peerAddress: string): string {
  return `${host}${separator}${peerAddress}`
}

export function addressOf (member: string): string {
  return member.slice(member.lastIndexOf(separator) + 1)
}
