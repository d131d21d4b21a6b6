/** What a fixture needs of a tap test: to be told when it ends. */
export interface TestScope {
  readonly teardown: (run: () => unknown) => void
}
