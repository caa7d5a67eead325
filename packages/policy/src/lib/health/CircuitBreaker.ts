import { createMachine, initialTransition, transition, type SnapshotFrom } from 'xstate';

/** Options of a circuit breaker. @public */
export interface BreakerOptions {
  /** Number of consecutive failures that opens the breaker. Default 3. */
  readonly failureThreshold?: number;
  /** Initial open time, in milliseconds. It doubles with each failed probe. Default 1000. */
  readonly openMs?: number;
  /** Maximum open time, in milliseconds. Default 30000. */
  readonly maxOpenMs?: number;
}

const defaults: Required<BreakerOptions> = {
  failureThreshold: 3,
  openMs: 1_000,
  maxOpenMs: 30_000,
};

/** A closed breaker allows all requests, an open one none and a half-open one a single probe. */
const machine = createMachine({
  types: {} as { events: { type: 'tripped' | 'elapsed' | 'succeeded' | 'failed' } },
  initial: 'closed',
  states: {
    closed: { on: { tripped: 'open' } },
    open: { on: { elapsed: 'halfOpen' } },
    halfOpen: { on: { succeeded: 'closed', failed: 'open' } },
  },
});

/**
 * Circuit breaker for one endpoint. Consecutive failures open it. After the open time, which doubles
 * with each failed probe, one request is allowed as a probe. Its outcome closes or reopens the breaker.
 * @public
 */
export class CircuitBreaker {
  readonly #options: Required<BreakerOptions>;

  #snapshot: SnapshotFrom<typeof machine> = initialTransition(machine)[0];

  #failures = 0;

  #openMs: number;

  #openUntil = -Infinity;

  #isProbing = false;

  constructor(options: BreakerOptions = {}) {
    this.#options = { ...defaults, ...options };
    this.#openMs = this.#options.openMs;
  }

  get state(): 'closed' | 'open' | 'halfOpen' {
    return this.#snapshot.value as 'closed' | 'open' | 'halfOpen';
  }

  /** Whether a request may be sent now. */
  allows(now: number): boolean {
    if (this.state === 'closed') return true;
    if (this.state === 'open' && now >= this.#openUntil) this.#send('elapsed');
    return this.state === 'halfOpen' && !this.#isProbing;
  }

  /** Ends the open time early, as another observer has seen that the endpoint answers. */
  endOpenTime(): void {
    if (this.state === 'open') this.#send('elapsed');
  }

  /** Opens the breaker on evidence of another observer; during a half-open time as if the probe had failed. */
  trip(now: number): void {
    if (this.state === 'halfOpen') this.failed(now);
    else if (this.state === 'closed') this.#open('tripped', now);
  }

  /** Records a sent request, which is the probe if the breaker is half open. */
  sent(): void {
    if (this.state === 'halfOpen') this.#isProbing = true;
  }

  /** Records a successful request. */
  succeeded(): void {
    this.#failures = 0;
    if (this.state !== 'halfOpen') return;
    this.#isProbing = false;
    this.#openMs = this.#options.openMs;
    this.#send('succeeded');
  }

  /** Records a request that ended without evidence about the endpoint's health. */
  abandoned(): void {
    this.#isProbing = false;
  }

  /** Records a request that failed because of the endpoint. */
  failed(now: number): void {
    this.#failures += 1;
    if (this.state === 'halfOpen') {
      this.#isProbing = false;
      this.#openMs = Math.min(this.#options.maxOpenMs, 2 * this.#openMs);
      this.#open('failed', now);
    } else if (this.state === 'closed' && this.#failures >= this.#options.failureThreshold) {
      this.#open('tripped', now);
    }
  }

  #open(event: 'tripped' | 'failed', now: number): void {
    this.#openUntil = now + this.#openMs;
    this.#send(event);
  }

  #send(type: 'tripped' | 'elapsed' | 'succeeded' | 'failed'): void {
    [this.#snapshot] = transition(machine, this.#snapshot, { type });
  }
}
