/** Measures what each role costs per entry of its state. */
export {}
