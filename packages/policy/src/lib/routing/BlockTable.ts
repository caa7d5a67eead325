/* eslint-disable no-bitwise -- a hash table over 32-bit integers */

/** Entries that share one place of the table; the least recently used one is replaced. */
const WAYS = 4;

/** Endpoints remembered for a block. */
const ENDPOINTS = 4;

/** Of 32 bits; entry 0 of the tags means empty, so a tag is never 0. */
const TAG_MULTIPLIER = 0x9e3779b1;

const HASH_MULTIPLIER = 0x01000193;

const NONE = -1;

/**
 * Bounded set-associative table from (workspace, block digest) to the endpoints that may hold the
 * block. Typed arrays keep it small and out of the garbage collector's sight; a lookup reads one
 * place of the table. Workspaces and endpoints are small numbers given by the caller, from 1.
 * Digests are compared by 32 bits of hash beside the place: a collision costs a cache miss, and it
 * never crosses workspaces, whose numbers are compared in full.
 * @internal
 */
export class BlockTable {
  readonly #mask: number;

  readonly #tags: Uint32Array;

  readonly #workspaces: Uint32Array;

  readonly #usedAt: Float64Array;

  readonly #endpoints: Uint32Array;

  #clock = 0;

  /** Place and tag of the digest that was hashed last. */
  #place = 0;

  #tag = 0;

  /** @param places number of places, a power of 2; each holds four blocks */
  constructor(places: number) {
    this.#mask = places - 1;
    this.#tags = new Uint32Array(places * WAYS);
    this.#workspaces = new Uint32Array(places * WAYS);
    this.#usedAt = new Float64Array(places * WAYS);
    this.#endpoints = new Uint32Array(places * WAYS * ENDPOINTS);
  }

  /** Endpoints of a block, the latest first; empty when it is not known. */
  get(workspace: number, digest: string): number[] {
    const entry = this.#find(workspace, digest);
    if (entry === NONE) return [];
    const start = entry * ENDPOINTS;
    const found: number[] = [];
    for (let i = start; i < start + ENDPOINTS; i += 1) {
      const endpoint = this.#endpoints[i] as number;
      if (endpoint !== 0) found.push(endpoint);
    }
    return found;
  }

  has(workspace: number, digest: string): boolean {
    return this.#find(workspace, digest) !== NONE;
  }

  /** Notes that the endpoint holds a block of the workspace. */
  add(workspace: number, digest: string, endpoint: number): void {
    const known = this.#find(workspace, digest);
    const entry = known === NONE ? this.#replace(workspace) : known;
    this.#clock += 1;
    this.#usedAt[entry] = this.#clock;
    this.#putFirst(entry, endpoint);
  }

  /** Notes an event on a block in whichever workspaces it is known. */
  change(digest: string, endpoint: number, isStored: boolean): void {
    this.#hash(digest);
    const start = this.#place * WAYS;
    for (let entry = start; entry < start + WAYS; entry += 1) {
      if (this.#tags[entry] !== this.#tag) continue;
      if (isStored) this.#putFirst(entry, endpoint);
      else this.#drop(entry, endpoint);
    }
  }

  #find(workspace: number, digest: string): number {
    this.#hash(digest);
    const start = this.#place * WAYS;
    for (let entry = start; entry < start + WAYS; entry += 1) {
      if (this.#tags[entry] === this.#tag && this.#workspaces[entry] === workspace) return entry;
    }
    return NONE;
  }

  /** Takes the least recently used entry at the place of the digest that was hashed last. */
  #replace(workspace: number): number {
    const start = this.#place * WAYS;
    let oldest = start;
    for (let entry = start + 1; entry < start + WAYS; entry += 1) {
      if ((this.#usedAt[entry] as number) < (this.#usedAt[oldest] as number)) oldest = entry;
    }
    this.#tags[oldest] = this.#tag;
    this.#workspaces[oldest] = workspace;
    this.#endpoints.fill(0, oldest * ENDPOINTS, (oldest + 1) * ENDPOINTS);
    return oldest;
  }

  #putFirst(entry: number, endpoint: number): void {
    const start = entry * ENDPOINTS;
    let moved = endpoint;
    for (let i = start; i < start + ENDPOINTS; i += 1) {
      const old = this.#endpoints[i] as number;
      this.#endpoints[i] = moved;
      if (old === endpoint) return;
      moved = old;
    }
  }

  #drop(entry: number, endpoint: number): void {
    const start = entry * ENDPOINTS;
    let kept = start;
    for (let i = start; i < start + ENDPOINTS; i += 1) {
      const old = this.#endpoints[i] as number;
      this.#endpoints[i] = 0;
      if (old === endpoint || old === 0) continue;
      this.#endpoints[kept] = old;
      kept += 1;
    }
    if (kept > start) return;
    this.#tags[entry] = 0;
    this.#usedAt[entry] = 0;
  }

  /** Two independent 32-bit hashes of the digest, for its place and its tag. */
  #hash(digest: string): void {
    let a = 0x811c9dc5;
    let b = 0x2545f491;
    for (let i = 0; i < digest.length; i += 1) {
      const unit = digest.charCodeAt(i);
      a = Math.imul(a ^ unit, HASH_MULTIPLIER);
      b = Math.imul(b + unit, TAG_MULTIPLIER);
      b ^= b >>> 15;
    }
    this.#place = (a ^ (a >>> 16)) & this.#mask;
    this.#tag = b >>> 0 || 1;
  }
}
