import type { Timer } from '@berylwood/base';
import { probeConnection } from './probeConnection';

/** Time for which a reachable endpoint is not probed again, in milliseconds; limits the cost of probes. */
const REACHABLE_TTL_MS = 2000;

/**
 * Probes by a new connection whether an unresponsive endpoint is reachable. When a machine loses power or
 * network, persistent connections to it report no error. One probe at a time serves all requests that
 * wait for the endpoint.
 * @internal
 */
export class ReachabilityProbe {
  readonly #address: string;

  readonly #timer: Timer;

  #pendingCallbacks: (() => void)[] = [];

  #lastReachableAt = -Infinity;

  constructor(address: string, timer: Timer) {
    this.#address = address;
    this.#timer = timer;
  }

  /** Calls back if the endpoint is unreachable. */
  check(onUnreachable: () => void): void {
    if (this.#timer.now() - this.#lastReachableAt < REACHABLE_TTL_MS) return;
    this.#pendingCallbacks.push(onUnreachable);
    if (this.#pendingCallbacks.length === 1) this.#probe();
  }

  async #probe(): Promise<void> {
    const result = await probeConnection(this.#address, this.#timer);
    const waiting = this.#pendingCallbacks;
    this.#pendingCallbacks = [];
    // An error such as a refused connection shows that the machine runs; it resets open connections by itself.
    if (result !== 'silent') this.#lastReachableAt = this.#timer.now();
    else waiting.forEach((onUnreachable) => onUnreachable());
  }
}
