import type { Random } from '@berylwood/base';
import type { OperatorListener, OperatorListeners } from '@berylwood/registry';

/**
 * Longest time that a response may take on an idle link, in milliseconds. Clients of operators wait for a second,
 * which also has to cover the confirmation by the leader and the other traffic of the link.
 */
const MAX_SEND_MS = 300;

/** How many times as fast another link must be, since a redirect costs a connection and may meet an instance that is gone. */
const MIN_GAIN = 2;

const BITS_PER_BYTE = 8;

/** @internal */
export interface ReadRedirectsOptions {
  /** Bandwidth of this machine's network link in Mbit/s; undefined if it is not known. */
  readonly linkMbps: number | undefined;
  readonly listeners: Pick<OperatorListeners, 'pickFastest'>;
  readonly random: Random;
}

/** Decides which reads of operators go to an instance with a faster link. @internal */
export class ReadRedirects {
  readonly #options: ReadRedirectsOptions;

  constructor(options: ReadRedirectsOptions) {
    this.#options = options;
  }

  /** The listener that should send a response of so many bytes; undefined if this instance should. */
  find(bytes: number): OperatorListener | undefined {
    const { linkMbps, listeners, random } = this.#options;
    if (linkMbps === undefined) return undefined;
    const sendMs = (bytes * BITS_PER_BYTE) / (linkMbps * 1000);
    if (sendMs <= MAX_SEND_MS) return undefined;
    const fastest = listeners.pickFastest(random);
    // Each redirect leads to a link that is at least twice as fast, so they can not form a loop.
    return fastest && fastest.linkMbps >= MIN_GAIN * linkMbps ? fastest : undefined;
  }
}
