/** The state of a program as a pure fold over its journal records. */
export {}
