/** Which hosts are live, leaving or suspect, from the host list and from what calls show. */
export {}
