import { DisposableStore, type Timer } from '@berylwood/base';
import type { Load } from '@berylwood/schema';
import type { AttemptTable } from './AttemptTable';
import type { Endpoint, EndpointLoad } from './Endpoint';

const INTERVAL_MS = 250;
const MS_PER_S = 1000;

/** Joins the endpoint's own load report with what the sidecar knows, at a fixed interval. @public */
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

  #generation = 0;

  constructor(timer: Timer, endpoint: Endpoint, attempts: AttemptTable, isLeaving: () => boolean) {
    this.#timer = timer;
    this.#endpoint = endpoint;
    this.#attempts = attempts;
    this.#isLeaving = isLeaving;
  }

  get current(): Load {
    const { slots, runningCount, queuedCount } = this.#attempts;
    return {
      slots,
      running: runningCount,
      waiting: queuedCount,
      tokensPerSecond: this.#tokensPerSecond,
      prefillTokens: this.#report?.prefillTokens ?? 0,
      waitingTier: 0,
      runningTier: 0,
      ageMs: this.#timer.now() - this.#reportedAt,
      leaving: this.#isLeaving(),
      credits: Math.max(0, slots - runningCount - queuedCount),
      generation: this.#generation,
    };
  }

  open(): void {
    this.#store.add(this.#timer.every(INTERVAL_MS, () => this.#poll()));
  }

  [Symbol.dispose](): void {
    this.#store[Symbol.dispose]();
  }

  #poll(): void {
    this.#endpoint
      .load()
      .then((report) => this.#take(report))
      .catch(() => {})
      .finally(() => this.#push());
  }

  #take(report: EndpointLoad | undefined): void {
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

  #push(): void {
    this.#generation += 1;
    this.onLoad(this.current);
  }
}
