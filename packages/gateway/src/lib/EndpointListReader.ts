import { DisposableStore, type Journal, type Timer } from '@berylwood/base';
import type { EndpointDirectory } from './EndpointDirectory';
import { gatewayEvents } from './events';
import { listedEndpointsSchema } from './listedEndpointsSchema';
import type { ListedEndpoint, PlatformCalls } from './Wire';

/** Interval of reading while all is well, in milliseconds: a third of a short drain. */
const READ_INTERVAL_MS = 1000;

/** Longest interval, in milliseconds: an endpoint must be left before its drain is over. */
const MAX_READ_INTERVAL_MS = 1500;

/** Age of the list at which an instance that is told nothing reads by itself, in milliseconds. */
const STALE_LIST_MS = 1600;

/** Interval of looking whether a list is due, in milliseconds; nothing is served before the first. */
const CHECK_INTERVAL_MS = 200;

/** Part of the platform's calls that reading may use; duties need the rest. */
const PLATFORM_CALL_SHARE = 0.5;

/** Pages after which a list is taken as endless. */
const MAX_PAGES = 200;

/** @internal */
export interface EndpointListReaderOptions {
  readonly platform: PlatformCalls;
  readonly directory: EndpointDirectory;
  readonly timer: Timer;
  readonly journal: Journal;
  readonly callsPerS: number;
  readonly instances: () => number;
  /** Whether this instance reads for all others. */
  readonly isReader: () => boolean;
  /** Tells all others a list. */
  readonly publish: (listed: readonly ListedEndpoint[]) => void;
}

/**
 * Keeps the list of endpoints: one instance reads it for all and tells the others; one that is told
 * nothing for a while reads by itself. A list that can't be read in full is not used.
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

  /** Takes a list that another instance has read. */
  receive(value: unknown): void {
    const listed = listedEndpointsSchema.safeParse(value);
    if (listed.success) this.#options.directory.replace(listed.data as ListedEndpoint[]);
    else this.#options.journal.record(gatewayEvents.listFailed, { failure: listed.error.message });
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
