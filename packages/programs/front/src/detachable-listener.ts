/** A listener for a promise that may stay pending long after its result has lost its use. */

/** Passes a value on until it is detached; a promise that refers to it does not keep the listener in memory from then on. */
export class DetachableListener<T> {
  private listener: ((value: T) => void) | undefined

  constructor (listener: (value: T) => void) { this.listener = listener }

  /** Calls the listener, unless it is detached. */
  readonly notify = (value: T): void => {
    const { listener } = this
    this.listener = undefined
    listener?.(value)
  }

  readonly detach = (): void => {
    this.listener = undefined
  }
}
