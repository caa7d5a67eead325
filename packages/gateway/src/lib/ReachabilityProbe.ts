import { connect, type Socket } from 'node:net';
import type { Timer } from '@berylwood/base';
import { splitAddress } from '@berylwood/link';

/** Time for a connection to be made; both ends are milliseconds apart. */
export const CONNECT_TIMEOUT_MS = 300;

/** Time for which an endpoint that was reached is not probed again, in milliseconds: probes cost. */
const REACHABLE_TTL_MS = 2000;

/**
 * Finds out whether an endpoint that has fallen silent can still be reached: a machine that has lost
 * its power or its network answers nothing, and kept connections to it do not show that. One probe
 * at a time serves all requests that wait for the endpoint.
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

  /** Calls back if the endpoint can't be reached. */
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
    // A refusal comes from a machine that runs; what was sent there is reset by itself.
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
