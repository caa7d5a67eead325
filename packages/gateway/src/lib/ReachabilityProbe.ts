import { connect, type Socket } from 'node:net';
import type { Timer } from '@berylwood/base';
import { splitAddress } from '@berylwood/link';

/** Connect timeout, in milliseconds; the network latency is a few milliseconds. */
export const CONNECT_TIMEOUT_MS = 300;

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

  #probe(): void {
    const socket = connect({ ...splitAddress(this.#address) });
    const timeout = this.#timer.after(CONNECT_TIMEOUT_MS, () => this.#end(socket, false));
    const onReachable = (): void => {
      timeout[Symbol.dispose]();
      this.#end(socket, true);
    };
    socket.once('connect', onReachable);
    // A refused connection shows that the machine runs; it resets open connections by itself.
    socket.once('error', onReachable);
  }

  #end(socket: Socket, isReached: boolean): void {
    socket.destroy();
    const waiting = this.#pendingCallbacks;
    this.#pendingCallbacks = [];
    if (isReached) this.#lastReachableAt = this.#timer.now();
    else waiting.forEach((onUnreachable) => onUnreachable());
  }
}
