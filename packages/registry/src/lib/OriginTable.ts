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

  /** By pool and version, the time until which an entry of the version is kept. */
  readonly #versions = new Map<string, Map<string, number>>();

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

  /** Versions that began the streams of a pool whose entries are kept. */
  versionsOf(pool: string, now: number): string[] {
    const versions = [...(this.#versions.get(pool) ?? [])];
    return versions.flatMap(([version, expiresAt]) => (expiresAt > now ? [version] : []));
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
    this.#keepVersion(origin, held.expiresAt, now);
    this.#trim(now);
    return held;
  }

  #keepVersion({ pool, version }: StreamOrigin, expiresAt: number, now: number): void {
    const versions = this.#versions.get(pool) ?? new Map<string, number>();
    for (const [other, until] of versions) if (until <= now) versions.delete(other);
    versions.set(version, Math.max(expiresAt, versions.get(version) ?? -Infinity));
    this.#versions.set(pool, versions);
  }

  #trim(now: number): void {
    for (const [key, { expiresAt }] of this.#origins) {
      if (expiresAt > now && this.#origins.size <= this.#maxEntries) return;
      this.#origins.delete(key);
    }
  }
}
