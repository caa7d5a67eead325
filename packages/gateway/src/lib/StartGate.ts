import { DisposableStore, type Timer } from '@berylwood/base';

/**
 * Time after the start for which requests wait for the first news, in milliseconds: other instances
 * that were restarted at the same time have them within half a second.
 */
const MAX_HOLD_MS = 1000;

/** A request that waits. @internal */
export interface HeldRequest {
  readonly onRelease: () => void;
  /** Time that its caller has left, in milliseconds, if stated. */
  readonly deadlineMs: number | undefined;
  /** Called when that time ends first; the request is out then. */
  readonly onTimeout: () => void;
}

/**
 * Holds requests of an instance that has just started until it knows its configuration and its
 * endpoints. Load pattern: all instances are restarted at once, and all callers return before the
 * first of them knows anything.
 * @internal
 */
export class StartGate implements Disposable {
  readonly #waiting = new Set<() => void>();

  readonly #timer: Timer;

  readonly #deadline: Disposable;

  #isHolding = true;

  constructor(timer: Timer) {
    this.#timer = timer;
    this.#deadline = timer.after(MAX_HOLD_MS, () => this.release());
  }

  /** Whether requests that arrive now wait. */
  get isHolding(): boolean {
    return this.#isHolding;
  }

  /** Calls back once; disposing of the result takes the request out. */
  wait({ onRelease, deadlineMs = Infinity, onTimeout }: HeldRequest): Disposable {
    const held = new DisposableStore();
    const release = (): void => {
      held[Symbol.dispose]();
      onRelease();
    };
    this.#waiting.add(release);
    held.add({ [Symbol.dispose]: () => this.#waiting.delete(release) });
    if (deadlineMs < MAX_HOLD_MS) {
      const expire = (): void => {
        held[Symbol.dispose]();
        onTimeout();
      };
      held.add(this.#timer.after(deadlineMs, expire));
    }
    return held;
  }

  /** Lets go what waits, for good. */
  release(): void {
    if (!this.#isHolding) return;
    this.#isHolding = false;
    this.#deadline[Symbol.dispose]();
    for (const release of [...this.#waiting]) release();
  }

  [Symbol.dispose](): void {
    this.release();
  }
}
