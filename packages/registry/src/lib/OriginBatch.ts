import type { StreamOrigin } from './StreamOrigin';
import type { AppendOutcome } from './AppendOutcome';

/**
 * What became of the record of a stream's origin: on more disks than may be lost, on some disk, or
 * on none as far as is known.
 * @public
 */
export type RecordOutcome = 'durable' | 'partial' | 'unavailable';

interface BatchedOrigin {
  readonly origin: StreamOrigin;
  readonly settle: (outcome: RecordOutcome) => void;
  syncs: number;
  hasConflict: boolean;
}

/** Origins that are written together, and the replies of the holders. @internal */
export class OriginBatch {
  readonly #requiredSyncs: number;

  readonly #items: BatchedOrigin[] = [];

  #hasEnded = false;

  #pendingReplies = 0;

  constructor(requiredSyncs: number) {
    this.#requiredSyncs = requiredSyncs;
  }

  get origins(): StreamOrigin[] {
    return this.#items.map(({ origin }) => origin);
  }

  get hasEnded(): boolean {
    return this.#hasEnded;
  }

  get size(): number {
    return this.#items.length;
  }

  add(origin: StreamOrigin, settle: (outcome: RecordOutcome) => void): void {
    this.#items.push({ origin, settle, syncs: 0, hasConflict: false });
  }

  /** Sets the number of holders that will reply. */
  expectReplies(count: number): void {
    this.#pendingReplies = count;
  }

  /**
   * Adds the reply of one holder, `undefined` if it gave none; returns whether it was the last one.
   */
  addReply(outcomes: readonly unknown[] | undefined): boolean {
    this.#pendingReplies -= 1;
    for (const [i, item] of this.#items.entries()) {
      const outcome = outcomes?.[i] as AppendOutcome | undefined;
      if (outcome === 'synced') item.syncs += 1;
      if (outcome === 'conflict') item.hasConflict = true;
      if (item.syncs >= this.#requiredSyncs) item.settle('durable');
    }
    return this.#pendingReplies === 0;
  }

  /** Settles what is not settled yet. */
  end(): void {
    this.#hasEnded = true;
    for (const { settle, syncs } of this.#items) {
      if (syncs < this.#requiredSyncs) settle(syncs > 0 ? 'partial' : 'unavailable');
    }
  }

  /** Whether the origins could be stored; undefined if this shows nothing about the storage. */
  get isDurable(): boolean | undefined {
    const sound = this.#items.filter(({ hasConflict }) => !hasConflict);
    if (sound.length === 0) return undefined;
    return sound.some(({ syncs }) => syncs >= this.#requiredSyncs);
  }
}
