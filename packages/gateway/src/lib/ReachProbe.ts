import { connect, type Socket } from 'node:net';
import type { Timer } from '@berylwood/base';
import { splitAddress } from '@berylwood/link';

/** Time for a connection to be made; both ends are milliseconds apart. */
export const CONNECT_MS = 300;

/** Time for which an endpoint that was reached is not probed again, in milliseconds: probes cost. */
const REACHED_MS = 2000;

/**
 * Finds out whether an endpoint that has fallen silent can still be reached: a machine that has lost
 * its power or its network answers nothing, and kept connections to it do not show that. One probe
 * at a time serves all requests that wait for the endpoint.
 * @internal
 */
export class ReachProbe {
  readonly #address: string;

  readonly #timer: Timer;

  #waiting: (() => void)[] = [];

  #reachedAt = -Infinity;

  constructor(address: string, timer: Timer) {
    this.#address = address;
    this.#timer = timer;
  }

  /** Calls back if the endpoint can't be reached. */
  check(onUnreachable: () => void): void {
    if (this.#timer.now() - this.#reachedAt < REACHED_MS) return;
    this.#waiting.push(onUnreachable);
    if (this.#waiting.length === 1) this.#probe();
  }

  #probe(): void {
    const socket = connect({ ...splitAddress(this.#address) });
    const timeout = this.#timer.after(CONNECT_MS, () => this.#end(socket, false));
    const onAnswer = (): void => {
      timeout[Symbol.dispose]();
      this.#end(socket, true);
    };
    socket.once('connect', onAnswer);
    // A refusal comes from a machine that runs; what was sent there is reset by itself.
    socket.once('error', onAnswer);
  }

  #end(socket: Socket, isReached: boolean): void {
    socket.destroy();
    const waiting = this.#waiting;
    this.#waiting = [];
    if (isReached) this.#reachedAt = this.#timer.now();
    else waiting.forEach((onUnreachable) => onUnreachable());
  }
}
