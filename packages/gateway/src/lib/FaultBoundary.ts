/**
 * Runs the handlers of one request or attempt, which the event loop and timers call. An exception in one of
 * them ends that request or attempt by `onFault`; it does not reach the event loop, where it would end the
 * process with all other requests.
 * @internal
 */
export class FaultBoundary {
  readonly #onFault: (error: unknown) => void;

  constructor(onFault: (error: unknown) => void) {
    this.#onFault = onFault;
  }

  /** Runs a handler; returns undefined if it throws. */
  run<T>(handler: () => T): T | undefined {
    try {
      return handler();
    } catch (error) {
      this.#onFault(error);
      return undefined;
    }
  }

  /** Returns a function that runs a handler within this boundary. */
  wrap<Arguments extends unknown[], T>(
    handler: (...args: Arguments) => T,
  ): (...args: Arguments) => T | undefined {
    return (...args) => this.run(() => handler(...args));
  }
}
