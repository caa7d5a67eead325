import { DisposableStore, type Journal, type Timer } from '@berylwood/base';
import type { Ledger } from '@berylwood/ledger';
import type { Leadership } from './Leadership';
import type { PlatformClient } from './PlatformClient';
import type { Proposer } from './Proposer';

/** Options of a platform task. @public */
export interface PlatformTaskOptions {
  readonly timer: Timer;
  readonly journal: Journal;
  readonly ledger: Ledger;
  readonly proposer: Proposer;
  readonly leadership: Leadership;
  readonly platform: PlatformClient | undefined;
}

/** Periodic task that runs only on the leader under its lease. @public */
export abstract class PlatformTask implements Disposable {
  protected readonly options: PlatformTaskOptions;

  readonly #store = new DisposableStore();

  readonly #intervalMs: number;

  #isBusy = false;

  constructor(options: PlatformTaskOptions, intervalMs: number) {
    this.options = options;
    this.#intervalMs = intervalMs;
  }

  open(): void {
    this.#store.add(this.options.timer.every(this.#intervalMs, () => this.#tick()));
  }

  [Symbol.dispose](): void {
    this.#store[Symbol.dispose]();
  }

  /** Does the work that is due. Steps never overlap. */
  protected abstract step(): Promise<void>;

  #tick(): void {
    if (this.#isBusy || !this.options.leadership.mayAct()) return;
    this.#isBusy = true;
    const done = (): void => {
      this.#isBusy = false;
    };
    this.step().then(done, done);
  }
}
