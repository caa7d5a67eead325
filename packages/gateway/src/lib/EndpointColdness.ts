import type { ColdStart } from './RoutingConfiguration';

/**
 * Time by which the list of endpoints may be behind, in milliseconds: it lags by up to 800 ms and is read once
 * a second.
 */
const LIST_LAG_MS = 2000;

/**
 * Age of an event after which a list that arrives is certainly newer, in milliseconds: the lag of the list and
 * the longest delay of a message between instances.
 */
const CERTAIN_LIST_MS = LIST_LAG_MS + 1500;

/**
 * Fraction of the stated rate that is used. With two parts of a partition that each have a leader for some
 * seconds, twice this rate must stay below 1.5 times the stated one.
 */
const USED_FRACTION = 0.7;

/**
 * Whether an endpoint is, or may be, cold after a start. Load pattern: an engine that has just started crashes
 * at a rate that is normal later, and its start is seen late or not at all. So it counts as cold if the list or
 * the endpoint says so, and also for some time after each event behind which a start may be hidden.
 * @internal
 */
export class EndpointColdness {
  readonly #start: () => ColdStart | undefined;

  /** Latest event of this instance behind which a start may be hidden. */
  #eventAt = -Infinity;

  /** Whether the endpoint is ejected, so that it may start at any time. */
  #isEjected = false;

  #learntUntil = -Infinity;

  #statedUntil = -Infinity;

  /** Time at which what is known was last extended. */
  #extendedAt = -Infinity;

  /** Time for which an endpoint counts as cold after an event, in milliseconds; 0 if it is never cold. */
  #holdMs = 0;

  #coldPerS = Infinity;

  /** Kept up to date, since it is read several times for each request and endpoint. */
  #coldUntil = -Infinity;

  /** @param start what the configuration in force states for the pool */
  constructor(start: () => ColdStart | undefined) {
    this.#start = start;
  }

  /** Requests per second that all instances together may send; Infinity if the endpoint is not cold. */
  requestsPerS(now: number): number {
    return this.isCold(now) ? this.#coldPerS * USED_FRACTION : Infinity;
  }

  isCold(now: number): boolean {
    return now < this.#coldUntil;
  }

  /** Time for which the endpoint counts as cold, in milliseconds; 0 if it does not. */
  remainingMs(now: number): number {
    return this.#isEjected ? this.#holdMs : Math.max(0, this.#coldUntil - now);
  }

  /** The same by the events of this instance alone, which other instances don't know otherwise. */
  ownRemainingMs(now: number): number {
    if (this.#isEjected) return this.#holdMs;
    return Math.max(0, this.#eventAt + this.#holdMs - now);
  }

  /** Records an event behind which a start of the endpoint may be hidden. */
  mayHaveStarted(now: number): void {
    this.#eventAt = now;
    this.#extendedAt = now;
    this.refresh();
  }

  /** Records whether the endpoint is ejected; a start may be hidden behind the whole time of an ejection. */
  setEjected(isEjected: boolean, now: number): void {
    if (isEjected || this.#isEjected) this.mayHaveStarted(now);
    this.#isEjected = isEjected;
    this.refresh();
  }

  /** Records what another instance knows. */
  learn(remainingMs: number, now: number): void {
    this.refresh();
    const until = now + Math.min(remainingMs, this.#holdMs);
    if (until <= this.#learntUntil) return;
    this.#learntUntil = until;
    this.#extendedAt = now;
    this.refresh();
  }

  /** Records what a list that has just arrived states, if anything. */
  observeList(remainingMs: number | undefined, now: number): void {
    if (remainingMs !== undefined) this.#observe(remainingMs, now, now - CERTAIN_LIST_MS);
  }

  /** Records what the endpoint itself states in the response to a request sent at `sentAt`. */
  observeResponse(remainingMs: number | undefined, sentAt: number, now: number): void {
    if (remainingMs !== undefined) this.#observe(remainingMs, now, sentAt);
  }

  #observe(remainingMs: number, now: number, certainlyAfter: number): void {
    this.refresh();
    const until = now + Math.max(0, Math.min(remainingMs, this.#holdMs));
    if (this.#extendedAt <= certainlyAfter) {
      this.#eventAt = -Infinity;
      this.#learntUntil = -Infinity;
      this.#statedUntil = until;
    } else if (until > this.#statedUntil) {
      this.#statedUntil = until;
      if (remainingMs > 0) this.#extendedAt = now;
    }
    this.refresh();
  }

  /** Applies the configuration in force. */
  refresh(): void {
    const start = this.#start();
    this.#holdMs = start ? start.durationMs + LIST_LAG_MS : 0;
    this.#coldPerS = start?.requestsPerS ?? Infinity;
    const known = Math.max(this.#eventAt + this.#holdMs, this.#learntUntil, this.#statedUntil);
    const until = this.#isEjected ? Infinity : known;
    this.#coldUntil = start ? until : -Infinity;
  }
}
