import type { CacheEvent, EndpointId, WorkspaceId } from '@berylwood/schema';
import { BlockTable } from './BlockTable';

/** Places of the block table: 65,536 blocks in all. */
const DEFAULT_SETS = 16_384;

/** Blocks at the beginning of a prompt that are all remembered. */
const DENSE_DEPTHS = 4;

/** Deeper blocks are remembered at these intervals, each up to this depth. */
const SPARSE_DEPTHS = [
  { interval: 4, end: 64 },
  { interval: 16, end: 256 },
  { interval: 64, end: 1_024 },
] as const;

/** Blocks of a prompt that are remembered, counted from 1; bounds the work for a long prompt. */
const DEPTHS = listDepths();

/** Endpoints that are thought to hold the longest prefix of a prompt. @internal */
export interface PrefixMatch {
  /** The one that got the prefix last comes first. */
  readonly endpoints: readonly EndpointId[];
  /** Blocks of the prefix that they hold. */
  readonly length: number;
}

const noMatch: PrefixMatch = { endpoints: [], length: 0 };

/** Small numbers for ids, from 1, in order of first use. */
class Interner<Key> {
  readonly #numbers = new Map<Key, number>();

  readonly #keys: Key[] = [];

  intern(key: Key): number {
    const known = this.#numbers.get(key);
    if (known !== undefined) return known;
    this.#keys.push(key);
    this.#numbers.set(key, this.#keys.length);
    return this.#keys.length;
  }

  keyOf(number: number): Key {
    return this.#keys[number - 1] as Key;
  }
}

/**
 * Which endpoint is thought to hold which prompt blocks of which workspace. It learns from what was
 * sent and from cache events, both of which are hints: events come late and with gaps, so a wrong
 * entry costs a cache miss and nothing else. Blocks belong to a workspace, so that a workspace can
 * not learn by timing what another one has asked.
 * @internal
 */
export class PrefixIndex {
  readonly #table: BlockTable;

  readonly #workspaces = new Interner<WorkspaceId>();

  readonly #endpoints = new Interner<EndpointId>();

  /** @param sets size of the table, a power of 2; each place holds four blocks */
  constructor(sets = DEFAULT_SETS) {
    this.#table = new BlockTable(sets);
  }

  /** Endpoints with the longest known prefix; block digests are chained, so bisection finds it. */
  find(workspace: WorkspaceId, blocks: readonly string[]): PrefixMatch {
    const workspaceNumber = this.#workspaces.intern(workspace);
    let low = 0;
    let high = countDepths(blocks);
    while (low < high) {
      const middle = Math.ceil((low + high) / 2);
      if (this.#table.has(workspaceNumber, blockAt(blocks, middle))) low = middle;
      else high = middle - 1;
    }
    if (low === 0) return noMatch;
    const numbers = this.#table.get(workspaceNumber, blockAt(blocks, low));
    const endpoints = numbers.map((number) => this.#endpoints.keyOf(number));
    return { endpoints, length: DEPTHS[low - 1] as number };
  }

  /** A prompt was sent to the endpoint, which will hold its blocks. */
  sent(workspace: WorkspaceId, blocks: readonly string[], endpoint: EndpointId): void {
    const workspaceNumber = this.#workspaces.intern(workspace);
    const endpointNumber = this.#endpoints.intern(endpoint);
    const count = countDepths(blocks);
    for (let i = 1; i <= count; i += 1)
      this.#table.add(workspaceNumber, blockAt(blocks, i), endpointNumber);
  }

  /** Takes in cache events; digests that no workspace of this entry has sent are left out. */
  changed(endpoint: EndpointId, events: readonly CacheEvent[]): void {
    const endpointNumber = this.#endpoints.intern(endpoint);
    for (const { kind, blocks } of events) {
      for (const digest of blocks) this.#table.change(digest, endpointNumber, kind === 'stored');
    }
  }
}

function listDepths(): number[] {
  const depths = Array.from({ length: DENSE_DEPTHS }, (_, i) => i + 1);
  for (const { interval, end } of SPARSE_DEPTHS) {
    let depth = (depths.at(-1) as number) + interval;
    while (depth <= end) {
      depths.push(depth);
      depth += interval;
    }
  }
  return depths;
}

/** Block of a prompt at the remembered depth with this number, from 1. */
function blockAt(blocks: readonly string[], number: number): string {
  return blocks[(DEPTHS[number - 1] as number) - 1] as string;
}

/** How many of the depths lie within the prompt. */
function countDepths(blocks: readonly string[]): number {
  if (blocks.length <= DENSE_DEPTHS) return blocks.length;
  const beyond = DEPTHS.findIndex((depth) => depth > blocks.length);
  return beyond < 0 ? DEPTHS.length : beyond;
}
