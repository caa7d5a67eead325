/**
 * Deterministic state machine that a replicated log drives. Embedders implement it.
 * @public
 */
export abstract class StateMachine {
  /**
   * Applies a committed command and returns its result. The same commands give the same state and
   * results on each replica: no clock, randomness or I/O may be used.
   */
  abstract apply(index: number, command: Uint8Array): Uint8Array;

  /** The whole state, for a snapshot. */
  abstract snapshot(): Uint8Array;

  /** Replaces the state by that of a snapshot. */
  abstract restore(snapshot: Uint8Array): void;
}
