/* eslint-disable no-bitwise -- a hash table over 32-bit integers */

/** Entries per set; the least recently used one is replaced. */
const WAYS = 4;

/** Maximum number of endpoints stored per block. */
const ENDPOINTS_PER_BLOCK = 4;

/** 32-bit words per entry. They are contiguous so that a lookup reads few cache lines. */
const WORDS_PER_ENTRY = 8;

/** Word offsets within an entry. A tag of 0 marks an empty entry. */
const TAG = 0;
const WORKSPACE = 1;
const USED_AT = 2;
const FIRST_ENDPOINT = 3;

const SET_MULTIPLIER = 0x01000193;

const TAG_MULTIPLIER = 0x9e3779b1;

const NOT_FOUND = -1;

/**
 * Bounded set-associative table that maps (workspace, block digest) to the endpoints that may have
 * the block cached. The entries are stored in a typed array, which is compact and adds no objects for
 * the garbage collector to trace. A lookup reads a single set. The caller identifies workspaces and
 * endpoints by small integers that start at 1.
 *
 * Within a set, digests are compared by a 32-bit hash only. A collision costs a cache miss at the
 * endpoint. It never crosses workspaces, since workspace numbers are compared in full.
 * @internal
 */
export class BlockTable {
  readonly #mask: number;

  readonly #words: Uint32Array;

  /**
   * Logical clock for the least recently used order. It wraps around after 4 billion uses, which
   * distorts that order for a short time and has no other effect.
   */
  #clock = 0;

  /** Set and tag of the digest that `#hash` was last called with. */
  #setIndex = 0;

  #tag = 0;

  /** @param sets number of sets, a power of 2; each holds four blocks */
  constructor(sets: number) {
    this.#mask = sets - 1;
    this.#words = new Uint32Array(sets * WAYS * WORDS_PER_ENTRY);
  }

  /** Endpoints of a block, most recently added first. Empty for an unknown block. */
  get(workspace: number, digest: string): number[] {
    const entry = this.#find(workspace, digest);
    if (entry === NOT_FOUND) return [];
    const start = entry + FIRST_ENDPOINT;
    const endpoints = this.#words.subarray(start, start + ENDPOINTS_PER_BLOCK);
    return Array.from(endpoints).filter((endpoint) => endpoint !== 0);
  }

  has(workspace: number, digest: string): boolean {
    return this.#find(workspace, digest) !== NOT_FOUND;
  }

  /** Records that the endpoint has a block of the workspace cached. */
  add(workspace: number, digest: string, endpoint: number): void {
    const known = this.#find(workspace, digest);
    const entry = known === NOT_FOUND ? this.#replaceOldest(workspace) : known;
    this.#clock += 1;
    this.#words[entry + USED_AT] = this.#clock;
    this.#moveToFront(entry, endpoint);
  }

  /** Applies a cache event to the entries of a block in every workspace that has one. */
  change(digest: string, endpoint: number, isStored: boolean): void {
    this.#hash(digest);
    const end = this.#setEnd();
    for (let entry = this.#setStart(); entry < end; entry += WORDS_PER_ENTRY) {
      if (this.#words[entry + TAG] !== this.#tag) continue;
      if (isStored) this.#moveToFront(entry, endpoint);
      else this.#removeEndpoint(entry, endpoint);
    }
  }

  /** Word index of the block's entry, or `NOT_FOUND`. */
  #find(workspace: number, digest: string): number {
    this.#hash(digest);
    const words = this.#words;
    const end = this.#setEnd();
    for (let entry = this.#setStart(); entry < end; entry += WORDS_PER_ENTRY) {
      if (words[entry + TAG] === this.#tag && words[entry + WORKSPACE] === workspace) return entry;
    }
    return NOT_FOUND;
  }

  /** Reuses the least recently used entry in the set of the last hashed digest. */
  #replaceOldest(workspace: number): number {
    const words = this.#words;
    const end = this.#setEnd();
    let oldest = this.#setStart();
    for (let entry = oldest + WORDS_PER_ENTRY; entry < end; entry += WORDS_PER_ENTRY) {
      if ((words[entry + USED_AT] as number) < (words[oldest + USED_AT] as number)) oldest = entry;
    }
    words[oldest + TAG] = this.#tag;
    words[oldest + WORKSPACE] = workspace;
    for (let i = 0; i < ENDPOINTS_PER_BLOCK; i += 1) words[oldest + FIRST_ENDPOINT + i] = 0;
    return oldest;
  }

  #moveToFront(entry: number, endpoint: number): void {
    const start = entry + FIRST_ENDPOINT;
    let moved = endpoint;
    for (let i = start; i < start + ENDPOINTS_PER_BLOCK; i += 1) {
      const old = this.#words[i] as number;
      this.#words[i] = moved;
      if (old === endpoint) return;
      moved = old;
    }
  }

  #removeEndpoint(entry: number, endpoint: number): void {
    const start = entry + FIRST_ENDPOINT;
    let kept = start;
    for (let i = start; i < start + ENDPOINTS_PER_BLOCK; i += 1) {
      const old = this.#words[i] as number;
      this.#words[i] = 0;
      if (old === endpoint || old === 0) continue;
      this.#words[kept] = old;
      kept += 1;
    }
    if (kept > start) return;
    this.#words[entry + TAG] = 0;
    this.#words[entry + USED_AT] = 0;
  }

  /** Index of the first word in the set of the last hashed digest. */
  #setStart(): number {
    return this.#setIndex * WAYS * WORDS_PER_ENTRY;
  }

  #setEnd(): number {
    return this.#setStart() + WAYS * WORDS_PER_ENTRY;
  }

  /** Computes two independent 32-bit hashes of the digest, one for its set and one for its tag. */
  #hash(digest: string): void {
    let a = 0x811c9dc5;
    let b = 0x2545f491;
    for (let i = 0; i < digest.length; i += 1) {
      const unit = digest.charCodeAt(i);
      a = Math.imul(a ^ unit, SET_MULTIPLIER);
      b = Math.imul(b + unit, TAG_MULTIPLIER);
      b ^= b >>> 15;
    }
    this.#setIndex = (a ^ (a >>> 16)) & this.#mask;
    this.#tag = b >>> 0 || 1;
  }
}
