/** The only door to a host's upstreams: dispatch, request keys, seals, prefix holds and orders. */
export {}
