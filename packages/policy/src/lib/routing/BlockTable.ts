/* eslint-disable no-bitwise -- a hash table over 32-bit integers */

/** Entries that share one place of the table; the least recently used one is replaced. */
const WAYS = 4;

/** Endpoints remembered for a block. */
const ENDPOINTS = 4;

/** Words of an entry, which lie together so that a lookup reads few cache lines. */
const WORDS = 8;

/** Offsets within an entry; a tag of 0 marks an empty one. */
const TAG = 0;
const WORKSPACE = 1;
const USED_AT = 2;
const FIRST_ENDPOINT = 3;

const PLACE_MULTIPLIER = 0x01000193;

const TAG_MULTIPLIER = 0x9e3779b1;

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

  readonly #words: Uint32Array;

  /** Counts uses; it wraps after 4 billion, which only blurs the order of use for a while. */
  #clock = 0;

  /** Place and tag of the digest that was hashed last. */
  #place = 0;

  #tag = 0;

  /** @param places number of places, a power of 2; each holds four blocks */
  constructor(places: number) {
    this.#mask = places - 1;
    this.#words = new Uint32Array(places * WAYS * WORDS);
  }

  /** Endpoints of a block, the latest first; empty when it is not known. */
  get(workspace: number, digest: string): number[] {
    const entry = this.#find(workspace, digest);
    if (entry === NONE) return [];
    const start = entry + FIRST_ENDPOINT;
    const endpoints = this.#words.subarray(start, start + ENDPOINTS);
    return Array.from(endpoints).filter((endpoint) => endpoint !== 0);
  }

  has(workspace: number, digest: string): boolean {
    return this.#find(workspace, digest) !== NONE;
  }

  /** Notes that the endpoint holds a block of the workspace. */
  add(workspace: number, digest: string, endpoint: number): void {
    const known = this.#find(workspace, digest);
    const entry = known === NONE ? this.#replace(workspace) : known;
    this.#clock += 1;
    this.#words[entry + USED_AT] = this.#clock;
    this.#putFirst(entry, endpoint);
  }

  /** Notes an event on a block in whichever workspaces it is known. */
  change(digest: string, endpoint: number, isStored: boolean): void {
    this.#hash(digest);
    const end = this.#end();
    for (let entry = this.#start(); entry < end; entry += WORDS) {
      if (this.#words[entry + TAG] !== this.#tag) continue;
      if (isStored) this.#putFirst(entry, endpoint);
      else this.#drop(entry, endpoint);
    }
  }

  /** Index of the block's entry. */
  #find(workspace: number, digest: string): number {
    this.#hash(digest);
    const words = this.#words;
    const end = this.#end();
    for (let entry = this.#start(); entry < end; entry += WORDS) {
      if (words[entry + TAG] === this.#tag && words[entry + WORKSPACE] === workspace) return entry;
    }
    return NONE;
  }

  /** Takes the least recently used entry at the place of the digest that was hashed last. */
  #replace(workspace: number): number {
    const words = this.#words;
    const end = this.#end();
    let oldest = this.#start();
    for (let entry = oldest + WORDS; entry < end; entry += WORDS) {
      if ((words[entry + USED_AT] as number) < (words[oldest + USED_AT] as number)) oldest = entry;
    }
    words[oldest + TAG] = this.#tag;
    words[oldest + WORKSPACE] = workspace;
    for (let i = 0; i < ENDPOINTS; i += 1) words[oldest + FIRST_ENDPOINT + i] = 0;
    return oldest;
  }

  #putFirst(entry: number, endpoint: number): void {
    const start = entry + FIRST_ENDPOINT;
    let moved = endpoint;
    for (let i = start; i < start + ENDPOINTS; i += 1) {
      const old = this.#words[i] as number;
      this.#words[i] = moved;
      if (old === endpoint) return;
      moved = old;
    }
  }

  #drop(entry: number, endpoint: number): void {
    const start = entry + FIRST_ENDPOINT;
    let kept = start;
    for (let i = start; i < start + ENDPOINTS; i += 1) {
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
  #start(): number {
    return this.#place * WAYS * WORDS;
  }

  #end(): number {
    return this.#start() + WAYS * WORDS;
  }

  /** Two independent 32-bit hashes of the digest, for its place and its tag. */
  #hash(digest: string): void {
    let a = 0x811c9dc5;
    let b = 0x2545f491;
    for (let i = 0; i < digest.length; i += 1) {
      const unit = digest.charCodeAt(i);
      a = Math.imul(a ^ unit, PLACE_MULTIPLIER);
      b = Math.imul(b + unit, TAG_MULTIPLIER);
      b ^= b >>> 15;
    }
    this.#place = (a ^ (a >>> 16)) & this.#mask;
    this.#tag = b >>> 0 || 1;
  }
}
