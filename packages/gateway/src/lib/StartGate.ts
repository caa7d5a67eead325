import { DisposableStore, type Timer } from '@berylwood/base';

/**
 * Maximum time after the start for which requests are held, in milliseconds. Instances that are restarted
 * at the same time have their configuration and endpoints within half a second.
 */
const MAX_HOLD_MS = 1000;

/** A request that is held. @internal */
export interface HeldRequest {
  readonly onRelease: () => void;
  /** Deadline that the caller stated, in milliseconds from the arrival, if any. */
  readonly deadlineMs: number | undefined;
  /** Called instead of `onRelease` if the deadline passes first. */
  readonly onTimeout: () => void;
}

/**
 * Holds requests to an instance that has just started until its configuration and its list of endpoints
 * are loaded. Load pattern: all instances are restarted at once, and all callers reconnect before any
 * instance has loaded them.
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

  /** Whether new requests are held. */
  get isHolding(): boolean {
    return this.#isHolding;
  }

  /** Holds a request and calls back at most once; disposing of the result removes the request. */
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

  /** Releases all held requests; later requests are not held. */
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
