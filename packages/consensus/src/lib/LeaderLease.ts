import type { Timer } from '@berylwood/base';
import type { LeaseStamp } from './Message';

/**
 * The lease of a leader. A voter grants it for `leaseMs` from the receipt of a heartbeat. The
 * leader counts from before it sent that heartbeat, and shortens the lease by the bound on clock
 * rates. The lease must be valid by both clocks: the monotonic clock may stop while a machine is
 * suspended, and the wall clock may be set back.
 * @internal
 */
export class LeaderLease {
  readonly #timer: Timer;

  readonly #durationMs: number;

  readonly #ignoresWallClock: boolean;

  /** Latest stamp that a quorum has echoed. */
  #start: LeaseStamp = { mono: -Infinity, wall: -Infinity };

  #isAbandoned = false;

  constructor(timer: Timer, leaseMs: number, clockRateBound: number, ignoresWallClock = false) {
    this.#timer = timer;
    this.#durationMs = leaseMs / (1 + clockRateBound);
    this.#ignoresWallClock = ignoresWallClock;
  }

  renew(start: LeaseStamp): void {
    this.#start = start;
  }

  /** Abandons the lease for the rest of the term. */
  abandon(): void {
    this.#isAbandoned = true;
  }

  get isAbandoned(): boolean {
    return this.#isAbandoned;
  }

  /** End of the lease by the monotonic clock; 0 if it was abandoned or never held. */
  get endsAt(): number {
    if (this.#isAbandoned || this.#start.mono === -Infinity) return 0;
    return this.#start.mono + this.#durationMs;
  }

  get isHeld(): boolean {
    if (this.#timer.now() >= this.endsAt) return false;
    const wallAge = this.#timer.wall() - this.#start.wall;
    return this.#ignoresWallClock || wallAge < this.#durationMs;
  }
}
