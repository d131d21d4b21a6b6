/** What every process of the system shares: settings, hosts, configuration and its end. */
export {}
