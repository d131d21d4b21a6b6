/** Which hosts are live, leaving or suspect, from the host list and from what calls show. */
export * from './settings.js'
export * from './membership.js'
export * from './select-hosts.js'
export * from './plan-reports.js'
export * from './poll-interval.js'
export type { HostState } from './member.js'
