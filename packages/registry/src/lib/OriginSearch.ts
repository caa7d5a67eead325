import type { Timer } from '@berylwood/base';
import type { OriginHolder, OriginPeers } from './OriginPeers';
import type { StreamKey } from './StreamOrigin';
import type { StreamOriginLog } from './StreamOriginLog';

/** Longest duration of a search, in milliseconds. */
const SEARCH_BOUND_MS = 250;

/** Interval at which holders that have connected meanwhile are asked, in milliseconds. */
const POLL_INTERVAL_MS = 20;

interface OriginSearchOptions {
  readonly log: StreamOriginLog;
  readonly peers: OriginPeers;
  readonly timer: Timer;
}

/** Result of a search; `unanswered` if some holder has not replied. @internal */
export interface FoundOrigin {
  readonly version: string | undefined;
  readonly outcome: 'own' | 'peer' | 'absent' | 'unanswered';
}

/**
 * Searches the version that began a stream: in the own log, and at all holders at once. The first
 * version found is the result.
 * @internal
 */
export class OriginSearch {
  readonly #options: OriginSearchOptions;

  readonly #key: StreamKey;

  readonly #asked = new Set<OriginHolder>();

  /** Holders and the own log, as long as they have not replied. */
  #pending = 0;

  #hasFailed = false;

  #finish: (found: FoundOrigin) => void = () => {};

  constructor(options: OriginSearchOptions, key: StreamKey) {
    this.#options = options;
    this.#key = key;
  }

  async run(): Promise<FoundOrigin> {
    const { log, timer } = this.#options;
    const version = log.find(this.#key);
    if (version !== undefined) return { version, outcome: 'own' };
    const ended = new Promise<FoundOrigin>((resolve) => {
      this.#finish = resolve;
    });
    const deadline = timer.now() + SEARCH_BOUND_MS;
    const poll = timer.every(POLL_INTERVAL_MS, () => this.#askHolders(deadline));
    const bound = timer.after(SEARCH_BOUND_MS, () =>
      this.#finish({ version: undefined, outcome: 'unanswered' }),
    );
    this.#askOwnLog();
    this.#askHolders(deadline);
    const found = await ended;
    poll[Symbol.dispose]();
    bound[Symbol.dispose]();
    return found;
  }

  async #askOwnLog(): Promise<void> {
    this.#pending += 1;
    const version = await this.#options.log.search(this.#key);
    this.#pending -= 1;
    if (version === undefined) this.#finishIfAbsent();
    else this.#finish({ version, outcome: 'own' });
  }

  #askHolders(deadline: number): void {
    const { peers, timer } = this.#options;
    for (const holder of peers.originHolders) {
      if (!this.#asked.has(holder)) this.#ask(holder, deadline - timer.now());
    }
    this.#finishIfAbsent();
  }

  async #ask(holder: OriginHolder, timeoutMs: number): Promise<void> {
    this.#asked.add(holder);
    this.#pending += 1;
    const { stream, pool } = this.#key;
    const reply = await holder.call<unknown>({ type: 'findOrigin', stream, pool }, timeoutMs);
    this.#pending -= 1;
    const version = reply.unwrapOr(undefined);
    if (typeof version === 'string') this.#finish({ version, outcome: 'peer' });
    else {
      this.#hasFailed ||= reply.isErr();
      this.#finishIfAbsent();
    }
  }

  #finishIfAbsent(): void {
    if (this.#pending > 0 || !this.#options.peers.areAllKnown) return;
    const outcome = this.#hasFailed ? 'unanswered' : 'absent';
    this.#finish({ version: undefined, outcome });
  }
}
