import type { Timer } from '@berylwood/base';
import { probeConnection } from './probeConnection';

/**
 * Finds out by a new connection whether an endpoint that broke a connection has crashed: its machine then
 * refuses new ones until the endpoint is back. A reset or cut connection to a running endpoint is no crash,
 * and neither is a machine that does not respond, as the network may be cut. One probe at a time serves all
 * attempts that broke.
 * @internal
 */
export class CrashProbe {
  readonly #address: string;

  readonly #timer: Timer;

  #pending: Promise<boolean> | undefined;

  constructor(address: string, timer: Timer) {
    this.#address = address;
    this.#timer = timer;
  }

  /** Resolves to whether the endpoint has crashed. */
  hasCrashed(): Promise<boolean> {
    this.#pending ??= this.#probe();
    return this.#pending;
  }

  async #probe(): Promise<boolean> {
    const result = await probeConnection(this.#address, this.#timer);
    this.#pending = undefined;
    return result === 'refused';
  }
}
