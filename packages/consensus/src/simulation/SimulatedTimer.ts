import { Timer, type VirtualTimer } from '@berylwood/base';

/** Time over which a thawed process works off what has arrived meanwhile. */
const MAX_BACKLOG_MS = 20;

/** Clocks of one process: their rate differs, and a frozen process is called back on thawing. */
export class SimulatedTimer extends Timer {
  readonly #base: VirtualTimer;

  readonly #rate: number;

  readonly #origin: number;

  readonly #wallOffset: number;

  #deferred: (() => void)[] = [];

  #isFrozen = false;

  #isEnded = false;

  #suspendedMs = 0;

  constructor(base: VirtualTimer, rate: number, origin: number, wallOffset: number) {
    super();
    this.#base = base;
    this.#rate = rate;
    this.#origin = origin;
    this.#wallOffset = wallOffset;
  }

  override now(): number {
    return this.#origin + this.#base.now() * this.#rate - this.#suspendedMs;
  }

  override wall(): number {
    return this.#wallOffset + this.#base.wall();
  }

  override after(delayMs: number, callback: () => void): Disposable {
    let isDisposed = false;
    const delay = Math.max(0, Math.ceil(delayMs / this.#rate));
    const entry = this.#base.after(delay, () =>
      this.run(() => {
        if (!isDisposed) callback();
      }),
    );
    return {
      [Symbol.dispose]: () => {
        isDisposed = true;
        entry[Symbol.dispose]();
      },
    };
  }

  /** Runs a callback in the process: now, on thawing, or never once it has ended. */
  run(callback: () => void): void {
    if (this.#isEnded) return;
    if (this.#isFrozen) this.#deferred.push(callback);
    else callback();
  }

  freeze(): void {
    this.#isFrozen = true;
  }

  /** Goes on; a suspended machine's monotonic clock has stood still meanwhile. */
  thaw(suspendedMs = 0): void {
    this.#isFrozen = false;
    this.#suspendedMs += suspendedMs;
    const deferred = this.#deferred;
    this.#deferred = [];
    deferred.forEach((callback, position) => {
      this.#base.after(position % MAX_BACKLOG_MS, () => this.run(callback));
    });
  }

  end(): void {
    this.#isEnded = true;
  }

  get isEnded(): boolean {
    return this.#isEnded;
  }

  get isFrozen(): boolean {
    return this.#isFrozen;
  }
}
