/** Membership and failure detection: which hosts are live, leaving, suspect or gone, from the host list and the results of calls. */
export * from './settings.js'
export * from './membership.js'
export * from './select-hosts.js'
export * from './plan-reports.js'
export * from './poll-interval.js'
export type { HostState } from './member.js'
