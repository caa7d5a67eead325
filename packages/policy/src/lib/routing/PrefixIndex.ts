import type { CacheEvent, EndpointId, WorkspaceId } from '@berylwood/schema';

/** Blocks remembered; the least recently used are forgotten first. */
const DEFAULT_CAPACITY = 50_000;

/** Endpoints remembered for a block. */
const ENDPOINTS_PER_BLOCK = 4;

/** Blocks at the beginning of a prompt that are all remembered. */
const DENSE_DEPTHS = 32;

/**
 * Blocks of a prompt that are remembered, counted from 1: all of the first ones, then ever fewer.
 * It bounds the work for a long prompt.
 */
const DEPTHS = [
  ...Array.from({ length: DENSE_DEPTHS }, (_, i) => i + 1),
  ...Array.from({ length: 12 }, (_, i) => 32 + 8 * (i + 1)),
  ...Array.from({ length: 28 }, (_, i) => 128 + 32 * (i + 1)),
];

/** Endpoints that are thought to hold the longest prefix of a prompt. @internal */
export interface PrefixMatch {
  /** The one that got the prefix last comes first. */
  readonly endpoints: readonly EndpointId[];
  /** Blocks of the prefix that they hold. */
  readonly length: number;
}

const noMatch: PrefixMatch = { endpoints: [], length: 0 };

/** A block of one workspace, linked into the order of use. */
interface Block {
  readonly workspace: WorkspaceId;
  readonly digest: string;
  readonly endpoints: EndpointId[];
  older: Block | undefined;
  newer: Block | undefined;
}

/**
 * Which endpoint is thought to hold which prompt blocks of which workspace. It learns from what was
 * sent and from cache events, both of which are hints: events come late and with gaps, so a wrong
 * entry costs a cache miss and nothing else. Blocks belong to a workspace, so that a workspace can
 * not learn by timing what another one has asked.
 * @internal
 */
export class PrefixIndex {
  readonly #capacity: number;

  /** Nearly always one block per digest; equal prompts of several workspaces make more. */
  readonly #blocks = new Map<string, Block[]>();

  #size = 0;

  #oldest: Block | undefined;

  #newest: Block | undefined;

  constructor(capacity = DEFAULT_CAPACITY) {
    this.#capacity = capacity;
  }

  /** Blocks remembered. */
  get size(): number {
    return this.#size;
  }

  /** Endpoints with the longest known prefix; block digests are chained, so bisection finds it. */
  find(workspace: WorkspaceId, blocks: readonly string[]): PrefixMatch {
    let low = 0;
    let high = countDepths(blocks);
    let match = noMatch;
    while (low < high) {
      const middle = Math.ceil((low + high) / 2);
      const length = DEPTHS[middle - 1] as number;
      const block = this.#get(workspace, blocks[length - 1] as string);
      if (block) {
        low = middle;
        match = { endpoints: block.endpoints, length };
      } else high = middle - 1;
    }
    return match;
  }

  /** A prompt was sent to the endpoint, which will hold its blocks. */
  sent(workspace: WorkspaceId, blocks: readonly string[], endpoint: EndpointId): void {
    const count = countDepths(blocks);
    for (let i = 0; i < count; i += 1) {
      const digest = blocks[(DEPTHS[i] as number) - 1] as string;
      const block = this.#get(workspace, digest) ?? this.#create(workspace, digest);
      this.#touch(block);
      addEndpoint(block, endpoint);
    }
    while (this.#size > this.#capacity) this.#forget(this.#oldest as Block);
  }

  /** Takes in cache events; digests that no workspace of this entry has sent are left out. */
  changed(endpoint: EndpointId, events: readonly CacheEvent[]): void {
    for (const { kind, blocks } of events) {
      for (const block of blocks.flatMap((digest) => [...(this.#blocks.get(digest) ?? [])])) {
        if (kind === 'stored') addEndpoint(block, endpoint);
        else this.#removeEndpoint(block, endpoint);
      }
    }
  }

  #get(workspace: WorkspaceId, digest: string): Block | undefined {
    const blocks = this.#blocks.get(digest);
    if (!blocks) return undefined;
    if (blocks[0]?.workspace === workspace) return blocks[0];
    return blocks.find((block) => block.workspace === workspace);
  }

  #create(workspace: WorkspaceId, digest: string): Block {
    const block = { workspace, digest, endpoints: [], older: undefined, newer: undefined };
    const others = this.#blocks.get(digest);
    if (others) others.push(block);
    else this.#blocks.set(digest, [block]);
    this.#size += 1;
    return block;
  }

  #removeEndpoint(block: Block, endpoint: EndpointId): void {
    const index = block.endpoints.indexOf(endpoint);
    if (index < 0) return;
    block.endpoints.splice(index, 1);
    if (block.endpoints.length === 0) this.#forget(block);
  }

  #forget(block: Block): void {
    this.#unlink(block);
    this.#size -= 1;
    const others = (this.#blocks.get(block.digest) ?? []).filter((other) => other !== block);
    if (others.length > 0) this.#blocks.set(block.digest, others);
    else this.#blocks.delete(block.digest);
  }

  /** Makes the block the newest in the order of use. */
  #touch(block: Block): void {
    if (this.#newest === block) return;
    this.#unlink(block);
    block.older = this.#newest;
    if (this.#newest) this.#newest.newer = block;
    this.#newest = block;
    this.#oldest ??= block;
  }

  #unlink(block: Block): void {
    if (block.older) block.older.newer = block.newer;
    else if (this.#oldest === block) this.#oldest = block.newer;
    if (block.newer) block.newer.older = block.older;
    else if (this.#newest === block) this.#newest = block.older;
    block.older = undefined;
    block.newer = undefined;
  }
}

/** How many of the depths lie within the prompt. */
function countDepths(blocks: readonly string[]): number {
  if (blocks.length <= DENSE_DEPTHS) return blocks.length;
  const beyond = DEPTHS.findIndex((depth) => depth > blocks.length);
  return beyond < 0 ? DEPTHS.length : beyond;
}

/** Puts the endpoint first and drops the last one when there are too many. */
function addEndpoint({ endpoints }: Block, endpoint: EndpointId): void {
  if (endpoints[0] === endpoint) return;
  const index = endpoints.indexOf(endpoint);
  if (index >= 0) endpoints.splice(index, 1);
  else if (endpoints.length >= ENDPOINTS_PER_BLOCK) endpoints.pop();
  endpoints.unshift(endpoint);
}
