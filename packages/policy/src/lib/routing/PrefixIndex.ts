import type { CacheEvent, EndpointId, WorkspaceId } from '@berylwood/schema';

/** Blocks remembered; the least recently used are forgotten first. */
const DEFAULT_CAPACITY = 50_000;

/** Endpoints remembered for a block. */
const ENDPOINTS_PER_BLOCK = 4;

/** Blocks of a prompt that are looked up; a match is searched by bisection. */
const MAX_BLOCKS = 1_024;

/** Can not occur in the name of a workspace. */
const SEPARATOR = ' ';

/** Endpoints that are thought to hold the longest prefix of a prompt. @internal */
export interface PrefixMatch {
  readonly endpoints: readonly EndpointId[];
  /** Blocks of the prefix that they hold. */
  readonly length: number;
}

const noMatch: PrefixMatch = { endpoints: [], length: 0 };

/**
 * Which endpoint is thought to hold which prompt blocks of which workspace. It learns from what was
 * sent and from cache events, both of which are hints: events come late and with gaps, so a wrong
 * entry costs a cache miss and nothing else. Keys contain the workspace, so that a workspace can
 * not learn by timing what another one has asked.
 * @internal
 */
export class PrefixIndex {
  readonly #capacity: number;

  /** In order of use, the least recently used first. */
  readonly #blocks = new Map<string, EndpointId[]>();

  /** Workspace keys under which a digest is known, to apply events that name no workspace. */
  readonly #keysOf = new Map<string, Set<string>>();

  constructor(capacity = DEFAULT_CAPACITY) {
    this.#capacity = capacity;
  }

  get size(): number {
    return this.#blocks.size;
  }

  /** Endpoints with the longest known prefix; block digests are chained, so bisection finds it. */
  find(workspace: WorkspaceId, blocks: readonly string[]): PrefixMatch {
    let low = 0;
    let high = Math.min(blocks.length, MAX_BLOCKS);
    let endpoints: readonly EndpointId[] = [];
    while (low < high) {
      const middle = Math.ceil((low + high) / 2);
      const found = this.#blocks.get(keyOf(workspace, blocks[middle - 1] as string));
      if (found) {
        low = middle;
        endpoints = found;
      } else high = middle - 1;
    }
    return low === 0 ? noMatch : { endpoints, length: low };
  }

  /** A prompt was sent to the endpoint, which will hold its blocks. */
  sent(workspace: WorkspaceId, blocks: readonly string[], endpoint: EndpointId): void {
    const count = Math.min(blocks.length, MAX_BLOCKS);
    for (let i = 0; i < count; i += 1) {
      const digest = blocks[i] as string;
      this.#add(keyOf(workspace, digest), digest, endpoint);
    }
    this.#trim();
  }

  /** Takes in cache events; digests that no workspace of this entry has sent are left out. */
  changed(endpoint: EndpointId, events: readonly CacheEvent[]): void {
    for (const { kind, blocks } of events) {
      for (const digest of blocks) {
        for (const key of [...(this.#keysOf.get(digest) ?? [])]) {
          if (kind === 'stored') this.#add(key, digest, endpoint);
          else this.#remove(key, digest, endpoint);
        }
      }
    }
  }

  #add(key: string, digest: string, endpoint: EndpointId): void {
    const known = this.#blocks.get(key) ?? [];
    this.#blocks.delete(key);
    const others = known[0] === endpoint ? known.slice(1) : known.filter((id) => id !== endpoint);
    this.#blocks.set(key, [endpoint, ...others.slice(0, ENDPOINTS_PER_BLOCK - 1)]);
    const keys = this.#keysOf.get(digest);
    if (keys) keys.add(key);
    else this.#keysOf.set(digest, new Set([key]));
  }

  #remove(key: string, digest: string, endpoint: EndpointId): void {
    const left = (this.#blocks.get(key) ?? []).filter((id) => id !== endpoint);
    if (left.length > 0) this.#blocks.set(key, left);
    else this.#forget(key, digest);
  }

  #forget(key: string, digest: string): void {
    this.#blocks.delete(key);
    const keys = this.#keysOf.get(digest);
    keys?.delete(key);
    if (keys?.size === 0) this.#keysOf.delete(digest);
  }

  #trim(): void {
    for (const key of this.#blocks.keys()) {
      if (this.#blocks.size <= this.#capacity) return;
      this.#forget(key, key.slice(key.indexOf(SEPARATOR) + 1));
    }
  }
}

function keyOf(workspace: WorkspaceId, digest: string): string {
  return workspace + SEPARATOR + digest;
}
