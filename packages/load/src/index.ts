/** Seeded workloads against a running system, with reports. */
export {}
