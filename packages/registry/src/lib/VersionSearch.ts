import type { Timer } from '@berylwood/base';
import type { OriginHolder, OriginPeers } from './OriginPeers';
import type { StreamOriginLog } from './StreamOriginLog';

/** Longest duration of a search, in milliseconds. */
const SEARCH_BOUND_MS = 250;

/** Interval at which holders that have connected meanwhile are asked, in milliseconds. */
const POLL_INTERVAL_MS = 20;

interface VersionSearchOptions {
  readonly log: StreamOriginLog;
  readonly peers: OriginPeers;
  readonly timer: Timer;
}

/** Whether a reply shows what a disk holds; one that holds nothing of the pool may have been lost. */
const isVersionList = (value: unknown): value is string[] =>
  Array.isArray(value) && value.length > 0 && value.every((item) => typeof item === 'string');

/** Searches the versions that began the streams of a pool: on the own disk, and at all holders at once. @internal */
export class VersionSearch {
  readonly #options: VersionSearchOptions;

  readonly #pool: string;

  readonly #asked = new Set<OriginHolder>();

  readonly #replies: string[][] = [];

  #pending = 0;

  #finish: () => void = () => {};

  constructor(options: VersionSearchOptions, pool: string) {
    this.#options = options;
    this.#pool = pool;
  }

  /** Resolves to the versions that each disk holds, of those that hold some and have replied. */
  async run(): Promise<readonly (readonly string[])[]> {
    const { timer, log } = this.#options;
    const deadline = timer.now() + SEARCH_BOUND_MS;
    const ended = new Promise<void>((resolve) => {
      this.#finish = resolve;
    });
    const poll = timer.every(POLL_INTERVAL_MS, () => this.#askHolders(deadline));
    const bound = timer.after(SEARCH_BOUND_MS, () => this.#finish());
    if (log.isDurable) this.#await(log.versionsOf(this.#pool));
    this.#askHolders(deadline);
    await ended;
    poll[Symbol.dispose]();
    bound[Symbol.dispose]();
    return [...this.#replies];
  }

  #askHolders(deadline: number): void {
    const { peers, timer } = this.#options;
    for (const holder of peers.originHolders) {
      if (!this.#asked.has(holder)) {
        this.#asked.add(holder);
        this.#await(this.#ask(holder, deadline - timer.now()));
      }
    }
    this.#finishIfComplete();
  }

  async #ask(holder: OriginHolder, timeoutMs: number): Promise<unknown> {
    const message = { type: 'findVersions' as const, pool: this.#pool };
    return (await holder.call<unknown>(message, timeoutMs)).unwrapOr(undefined);
  }

  async #await(reply: Promise<unknown>): Promise<void> {
    this.#pending += 1;
    const versions = await reply;
    this.#pending -= 1;
    if (isVersionList(versions)) this.#replies.push(versions);
    this.#finishIfComplete();
  }

  #finishIfComplete(): void {
    if (this.#pending === 0 && this.#options.peers.areAllKnown) this.#finish();
  }
}
