import type { Metrics, Timer } from '@berylwood/base';
import type { EndpointDirectory } from './EndpointDirectory';
import type { EndpointStatements } from './EndpointStatements';

const UPDATE_INTERVAL_MS = 1000;

/** Conditions that endpoints can state, as values of the label `condition`. */
const CONDITIONS: Record<string, (statements: EndpointStatements) => boolean> = {
  limited: ({ isLimited }) => isLimited,
  paused: ({ pausedMs }) => pausedMs > 0,
  cold: ({ isCold }) => isCold,
  leaving: ({ isLeaving }) => isLeaving,
};

/** @internal */
export interface EndpointGaugesOptions {
  readonly directory: EndpointDirectory;
  readonly timer: Timer;
  readonly metrics: Metrics;
}

/** Counts the endpoints by the conditions that they state, for the metrics. @internal */
export class EndpointGauges implements Disposable {
  readonly #options: EndpointGaugesOptions;

  readonly #restricted;

  readonly #recovering;

  readonly #updates: Disposable;

  constructor(options: EndpointGaugesOptions) {
    this.#options = options;
    const help = 'Endpoints that restrict the requests that they accept, by condition';
    this.#restricted = options.metrics.gauge('restricted_endpoints', help, ['condition']);
    const recoveringHelp = 'Endpoints that are paced after a start or an ejection';
    this.#recovering = options.metrics.gauge('recovering_endpoints', recoveringHelp);
    this.#updates = options.timer.every(UPDATE_INTERVAL_MS, () => this.#update());
  }

  [Symbol.dispose](): void {
    this.#updates[Symbol.dispose]();
  }

  #update(): void {
    const { endpoints } = this.#options.directory;
    this.#recovering.set(endpoints.filter(({ pace }) => pace.isRecovering).length);
    for (const [condition, holds] of Object.entries(CONDITIONS)) {
      const count = endpoints.filter(({ statements }) => holds(statements)).length;
      this.#restricted.set({ condition }, count);
    }
  }
}
