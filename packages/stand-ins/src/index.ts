/** Small stand-ins of the platform and the upstreams, with faults to switch on. */
export {}
