import type { CacheEvent, EndpointId, WorkspaceId } from '@berylwood/schema';
import { BlockTable } from './BlockTable';

/** Sets of the block table, which give it a capacity of 65,536 blocks. */
const DEFAULT_SETS = 16_384;

/** Every block up to this depth is indexed. */
const DENSE_DEPTHS = 4;

/** Deeper blocks are indexed at these intervals, each interval up to its `end` depth. */
const SPARSE_DEPTHS = [
  { interval: 4, end: 64 },
  { interval: 16, end: 256 },
  { interval: 64, end: 1_024 },
] as const;

/** Depths of the indexed blocks, counted from 1. Sparse depths bound the work for long prompts. */
const DEPTHS = listDepths();

/** Endpoints that are expected to have the longest known prefix of a prompt cached. @internal */
export interface PrefixMatch {
  /** Most recent recipient of the prefix first. */
  readonly endpoints: readonly EndpointId[];
  /** Length of the matched prefix, in blocks. */
  readonly length: number;
}

const noMatch: PrefixMatch = { endpoints: [], length: 0 };

/** Interns ids as small integers, starting at 1, in order of first use. */
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
 * Tracks which endpoints are expected to have which prompt blocks of which workspace cached. The index
 * is built from sent prompts and from cache events. Both are hints, since events arrive late and with
 * gaps. A wrong entry only costs a cache miss. Blocks are kept per workspace, so that a workspace
 * cannot infer another workspace's prompts from response times.
 * @internal
 */
export class PrefixIndex {
  readonly #table: BlockTable;

  readonly #workspaces = new Interner<WorkspaceId>();

  readonly #endpoints = new Interner<EndpointId>();

  /** @param sets size of the table, a power of 2; each set holds four blocks */
  constructor(sets = DEFAULT_SETS) {
    this.#table = new BlockTable(sets);
  }

  /**
   * Endpoints with the longest known prefix. Each block digest is chained with the preceding one, so
   * a binary search over the depths finds it.
   */
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

  /** Records that a prompt was sent to the endpoint, which will cache its blocks. */
  sent(workspace: WorkspaceId, blocks: readonly string[], endpoint: EndpointId): void {
    const workspaceNumber = this.#workspaces.intern(workspace);
    const endpointNumber = this.#endpoints.intern(endpoint);
    const count = countDepths(blocks);
    for (let i = 1; i <= count; i += 1)
      this.#table.add(workspaceNumber, blockAt(blocks, i), endpointNumber);
  }

  /** Applies cache events. Digests that no workspace has sent through this entry are ignored. */
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

/** Block of a prompt at the indexed depth with this number, counted from 1. */
function blockAt(blocks: readonly string[], number: number): string {
  return blocks[(DEPTHS[number - 1] as number) - 1] as string;
}

/** Number of indexed depths that lie within the prompt. */
function countDepths(blocks: readonly string[]): number {
  if (blocks.length <= DENSE_DEPTHS) return blocks.length;
  const beyond = DEPTHS.findIndex((depth) => depth > blocks.length);
  return beyond < 0 ? DEPTHS.length : beyond;
}
