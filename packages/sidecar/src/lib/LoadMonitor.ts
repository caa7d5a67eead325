import { DisposableStore, type Timer } from '@berylwood/base';
import type { Load } from '@berylwood/schema';
import type { AttemptTable } from './AttemptTable';
import { isUnreached } from './connection';
import type { Endpoint, EndpointLoad } from './Endpoint';

const POLL_INTERVAL_MS = 250;
const MS_PER_S = 1000;

/**
 * Polls the load of the endpoint at a fixed interval and combines it with the load of the sidecar.
 * @public
 */
export class LoadMonitor implements Disposable {
  onLoad: (load: Load) => void = () => {};

  readonly #timer: Timer;

  readonly #endpoint: Endpoint;

  readonly #attempts: AttemptTable;

  readonly #isLeaving: () => boolean;

  readonly #store = new DisposableStore();

  #report: EndpointLoad | undefined;

  #reportedAt = 0;

  #tokensPerSecond = 0;

  #isDown = false;

  constructor(timer: Timer, endpoint: Endpoint, attempts: AttemptTable, isLeaving: () => boolean) {
    this.#timer = timer;
    this.#endpoint = endpoint;
    this.#attempts = attempts;
    this.#isLeaving = isLeaving;
  }

  get current(): Load {
    return {
      ...this.#attempts.load,
      tokensPerSecond: this.#tokensPerSecond,
      prefillTokens: this.#report?.prefillTokens ?? 0,
      ageMs: this.#timer.now() - this.#reportedAt,
      leaving: this.#isLeaving(),
      down: this.#isDown,
    };
  }

  /** Whether the last attempt to connect to the endpoint failed. */
  get isDown(): boolean {
    return this.#isDown;
  }

  open(): void {
    this.#store.add(this.#timer.every(POLL_INTERVAL_MS, () => this.#poll()));
  }

  [Symbol.dispose](): void {
    this.#store[Symbol.dispose]();
  }

  #poll(): void {
    this.#endpoint
      .load()
      .then((report) => this.#applyReport(report))
      .catch((error: unknown) => {
        this.#isDown = isUnreached(error);
      })
      .finally(() => this.publish());
  }

  #applyReport(report: EndpointLoad | undefined): void {
    this.#isDown = false;
    if (!report) return;
    const now = this.#timer.now();
    if (this.#report) {
      const seconds = (now - this.#reportedAt) / MS_PER_S;
      const tokens = report.generatedTokens - this.#report.generatedTokens;
      this.#tokensPerSecond = Math.max(0, tokens / seconds);
    }
    this.#report = report;
    this.#reportedAt = now;
  }

  /** Publishes the current load. */
  publish(): void {
    this.onLoad(this.current);
  }
}
