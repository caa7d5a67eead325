/* eslint-disable no-bitwise -- a hash table over 32-bit integers */

/** Entries that share one place of the table; the least recently used one is replaced. */
const WAYS = 4;

/** Endpoints remembered for a block. */
const ENDPOINTS_PER_BLOCK = 4;

/** Words of an entry, which lie together so that a lookup reads few cache lines. */
const WORDS_PER_ENTRY = 8;

/** Offsets within an entry; a tag of 0 marks an empty one. */
const TAG = 0;
const WORKSPACE = 1;
const USED_AT = 2;
const FIRST_ENDPOINT = 3;

const SET_MULTIPLIER = 0x01000193;

const TAG_MULTIPLIER = 0x9e3779b1;

const NOT_FOUND = -1;

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

  readonly #words: Uint32Array;

  /** Counts uses; it wraps after 4 billion, which only blurs the order of use for a while. */
  #clock = 0;

  /** Place and tag of the digest that was hashed last. */
  #setIndex = 0;

  #tag = 0;

  /** @param sets number of places, a power of 2; each holds four blocks */
  constructor(sets: number) {
    this.#mask = sets - 1;
    this.#words = new Uint32Array(sets * WAYS * WORDS_PER_ENTRY);
  }

  /** Endpoints of a block, the latest first; empty when it is not known. */
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

  /** Notes that the endpoint holds a block of the workspace. */
  add(workspace: number, digest: string, endpoint: number): void {
    const known = this.#find(workspace, digest);
    const entry = known === NOT_FOUND ? this.#replaceOldest(workspace) : known;
    this.#clock += 1;
    this.#words[entry + USED_AT] = this.#clock;
    this.#moveToFront(entry, endpoint);
  }

  /** Notes an event on a block in whichever workspaces it is known. */
  change(digest: string, endpoint: number, isStored: boolean): void {
    this.#hash(digest);
    const end = this.#setEnd();
    for (let entry = this.#setStart(); entry < end; entry += WORDS_PER_ENTRY) {
      if (this.#words[entry + TAG] !== this.#tag) continue;
      if (isStored) this.#moveToFront(entry, endpoint);
      else this.#removeEndpoint(entry, endpoint);
    }
  }

  /** Index of the block's entry. */
  #find(workspace: number, digest: string): number {
    this.#hash(digest);
    const words = this.#words;
    const end = this.#setEnd();
    for (let entry = this.#setStart(); entry < end; entry += WORDS_PER_ENTRY) {
      if (words[entry + TAG] === this.#tag && words[entry + WORKSPACE] === workspace) return entry;
    }
    return NOT_FOUND;
  }

  /** Takes the least recently used entry at the place of the digest that was hashed last. */
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

  /** First word of the place of the digest that was hashed last. */
  #setStart(): number {
    return this.#setIndex * WAYS * WORDS_PER_ENTRY;
  }

  #setEnd(): number {
    return this.#setStart() + WAYS * WORDS_PER_ENTRY;
  }

  /** Two independent 32-bit hashes of the digest, for its place and its tag. */
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
