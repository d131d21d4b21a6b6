/** Tests that bring failures about on a whole system of real processes. */
export {}
