import type { StreamKey, StreamOrigin } from './StreamOrigin';

/** Entry of a stream in memory. @internal */
export interface HeldOrigin {
  readonly version: string;
  /** Monotonic time from which the entry is not found any more, in milliseconds. */
  readonly expiresAt: number;
  /** Whether the disk of this instance has the entry. */
  isSynced: boolean;
}

/** The length keeps apart keys whose names run into each other. */
const tableKey = ({ stream, pool }: StreamKey): string => `${stream.length} ${stream}${pool}`;

/** Origins of streams in memory. When there are too many, the oldest go first. @internal */
export class OriginTable {
  readonly #maxEntries: number;

  /** In the order of their addition. */
  readonly #origins = new Map<string, HeldOrigin>();

  constructor(maxEntries: number) {
    this.#maxEntries = maxEntries;
  }

  get size(): number {
    return this.#origins.size;
  }

  find(key: StreamKey, now: number): string | undefined {
    const held = this.#origins.get(tableKey(key));
    return held && held.expiresAt > now ? held.version : undefined;
  }

  /** Adds an origin, unless the stream has one; returns the one that the stream has now. */
  add(origin: StreamOrigin, now: number): HeldOrigin {
    const key = tableKey(origin);
    const existing = this.#origins.get(key);
    if (existing && existing.expiresAt > now) return existing;
    const { version, keepMs } = origin;
    const held = { version, expiresAt: now + keepMs, isSynced: false };
    this.#origins.delete(key);
    this.#origins.set(key, held);
    this.#trim(now);
    return held;
  }

  #trim(now: number): void {
    for (const [key, { expiresAt }] of this.#origins) {
      if (expiresAt > now && this.#origins.size <= this.#maxEntries) return;
      this.#origins.delete(key);
    }
  }
}
