import { DisposableStore, type Journal, type Timer } from '@berylwood/base';
import type { EndpointDirectory } from './EndpointDirectory';
import { gatewayEvents } from './events';
import type { ListedEndpoint, PlatformCalls } from './Wire';

/** Interval of reading while all is well, in milliseconds: a third of a short drain. */
const READ_MS = 1000;

/** Longest interval, in milliseconds: an endpoint must be left before its drain is over. */
const MAX_READ_MS = 1500;

/** Interval until the first list has been read, in milliseconds: nothing is served before. */
const FIRST_READ_MS = 250;

/** Part of the platform's calls that reading may use; duties need the rest. */
const CALL_SHARE = 0.5;

/** Pages after which a list is taken as endless. */
const MAX_PAGES = 200;

/** @internal */
export interface ListReaderOptions {
  readonly platform: PlatformCalls;
  readonly directory: EndpointDirectory;
  readonly timer: Timer;
  readonly journal: Journal;
  readonly callsPerS: number;
  readonly instances: () => number;
}

/** Reads the list of endpoints over and over; a list that can't be read in full is not used. */
export class ListReader implements Disposable {
  readonly #options: ListReaderOptions;

  readonly #store = new DisposableStore();

  #pages = 1;

  constructor(options: ListReaderOptions) {
    this.#options = options;
  }

  open(): void {
    this.#read();
  }

  [Symbol.dispose](): void {
    this.#store[Symbol.dispose]();
  }

  get #intervalMs(): number {
    const { callsPerS, instances, directory } = this.#options;
    if (!directory.isKnown) return FIRST_READ_MS;
    const fairMs = (1000 * this.#pages * instances()) / (callsPerS * CALL_SHARE);
    return Math.min(MAX_READ_MS, Math.max(READ_MS, fairMs));
  }

  async #read(): Promise<void> {
    const { directory, journal, timer } = this.#options;
    const startedAt = timer.now();
    const listed: ListedEndpoint[] = [];
    let unreadable = 0;
    let token: string | undefined;
    let pages = 0;
    let failure: string | undefined;
    do {
      const page = await this.#options.platform.listEndpoints(token);
      if (page.isErr()) {
        failure = page.error.message;
        break;
      }
      listed.push(...page.value.endpoints);
      unreadable += page.value.unreadable;
      token = page.value.nextToken;
      pages += 1;
    } while (token !== undefined && pages < MAX_PAGES);
    if (this.#store.isDisposed) return;
    if (failure === undefined) {
      this.#pages = pages;
      directory.replace(listed);
      if (unreadable > 0) journal.record(gatewayEvents.listFailed, { unreadable, pages });
    } else {
      journal.record(gatewayEvents.listFailed, { failure, ageMs: Math.round(directory.ageMs) });
    }
    const waitMs = Math.max(0, this.#intervalMs - (timer.now() - startedAt));
    this.#store.add(timer.after(waitMs, () => this.#read()));
  }
}
