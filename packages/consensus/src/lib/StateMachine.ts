/**
 * Deterministic state machine driven by a replicated log; implemented by the embedder.
 * @public
 */
export abstract class StateMachine {
  /**
   * Applies a committed command and returns its result. The same commands must give the same state
   * and results on every replica, so clocks, randomness and I/O must not be used.
   */
  abstract apply(index: number, command: Uint8Array): Uint8Array;

  /** Returns the complete state, for a snapshot. */
  abstract snapshot(): Uint8Array;

  /** Replaces the state with that of a snapshot. */
  abstract restore(snapshot: Uint8Array): void;
}
