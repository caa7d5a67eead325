import { DisposableStore, type Journal, type Timer } from '@berylwood/base';
import type { EndpointDirectory } from './EndpointDirectory';
import { gatewayEvents } from './events';
import { decodeListedEndpoints } from './decodeListedEndpoints';
import type { ListedEndpoint, PlatformCalls } from './Wire';

/** Regular interval between reads, in milliseconds: a third of a short drain. */
const READ_INTERVAL_MS = 1000;

/** Maximum interval, in milliseconds: requests to a draining endpoint must stop before its drain ends. */
const MAX_READ_INTERVAL_MS = 1500;

/** Age at which an instance that receives no list from the leader reads it itself, in milliseconds. */
const STALE_LIST_MS = 1600;

/** Interval of checks whether a read is due, in milliseconds. No request is served before the first list. */
const CHECK_INTERVAL_MS = 200;

/** Fraction of the platform's call limit for reading the list; duties need the rest. */
const PLATFORM_CALL_SHARE = 0.5;

/** Maximum number of pages of one list, as a guard against endless paging. */
const MAX_PAGES = 200;

/** @internal */
export interface EndpointListReaderOptions {
  readonly platform: PlatformCalls;
  readonly directory: EndpointDirectory;
  readonly timer: Timer;
  readonly journal: Journal;
  readonly callsPerS: number;
  readonly instances: () => number;
  /** Whether this instance reads the list for all instances. */
  readonly isReader: () => boolean;
  /** Publishes a list to all other instances. */
  readonly publish: (listed: readonly ListedEndpoint[]) => void;
}

/**
 * Keeps the list of endpoints up to date. One instance reads it from the platform and publishes it to
 * all others. An instance that receives no list for a while reads it itself. A list of which a page
 * cannot be read is not used.
 * @internal
 */
export class EndpointListReader implements Disposable {
  readonly #options: EndpointListReaderOptions;

  readonly #store = new DisposableStore();

  #pages = 1;

  #lastAttemptAt = -Infinity;

  #isReading = false;

  constructor(options: EndpointListReaderOptions) {
    this.#options = options;
  }

  open(): void {
    this.#store.add(this.#options.timer.every(CHECK_INTERVAL_MS, () => this.#check()));
    this.#check();
  }

  /** Applies a list that another instance has published. */
  receive(value: unknown): void {
    const listed = decodeListedEndpoints(value);
    if (listed.isErr()) {
      this.#options.journal.record(gatewayEvents.listFailed, { failure: listed.error });
      return;
    }
    const { endpoints, unreadable } = listed.value;
    this.#options.directory.replace(endpoints);
    if (unreadable > 0) this.#options.journal.record(gatewayEvents.listFailed, { unreadable });
  }

  [Symbol.dispose](): void {
    this.#store[Symbol.dispose]();
  }

  get #intervalMs(): number {
    const { callsPerS, instances, isReader } = this.#options;
    if (isReader()) return READ_INTERVAL_MS;
    const callLimitedMs = (1000 * this.#pages * instances()) / (callsPerS * PLATFORM_CALL_SHARE);
    return Math.min(MAX_READ_INTERVAL_MS, Math.max(READ_INTERVAL_MS, callLimitedMs));
  }

  #check(): void {
    const { directory, timer, isReader } = this.#options;
    const sinceAttemptMs = timer.now() - this.#lastAttemptAt;
    const isDue = directory.isLoaded
      ? sinceAttemptMs >= this.#intervalMs
      : sinceAttemptMs >= CHECK_INTERVAL_MS;
    const isNeeded = isReader() || directory.ageMs >= STALE_LIST_MS;
    if (this.#isReading || !isDue || !isNeeded) return;
    this.#lastAttemptAt = timer.now();
    this.#isReading = true;
    this.#read()
      .catch((error: unknown) => {
        this.#options.journal.record(gatewayEvents.listFailed, { failure: String(error) });
      })
      .finally(() => {
        this.#isReading = false;
      });
  }

  async #read(): Promise<void> {
    const { directory, journal, isReader, publish } = this.#options;
    const listed: ListedEndpoint[] = [];
    let unreadable = 0;
    let token: string | undefined;
    let pages = 0;
    do {
      const page = await this.#options.platform.listEndpoints(token);
      if (page.isErr()) {
        const fields = { failure: page.error.message, ageMs: Math.round(directory.ageMs) };
        journal.record(gatewayEvents.listFailed, fields);
        return;
      }
      listed.push(...page.value.endpoints);
      unreadable += page.value.unreadable;
      token = page.value.nextToken;
      pages += 1;
    } while (token !== undefined && pages < MAX_PAGES);
    if (this.#store.isDisposed) return;
    this.#pages = pages;
    directory.replace(listed);
    if (isReader()) publish(listed);
    if (unreadable > 0) journal.record(gatewayEvents.listFailed, { unreadable, pages });
  }
}
