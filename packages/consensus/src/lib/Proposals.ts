import { ok, type Result } from 'neverthrow';
import { fail, type Code, type Failure } from '@berylwood/base';
import { consensusCodes } from './codes';
import type { Applied } from './ReplicatedLog';

interface Proposal {
  readonly bytes: number;
  readonly settle: (result: Result<Applied, Failure>) => void;
}

/** Proposals of this leader that are in its log and not applied yet, bounded in number and size. */
export class Proposals {
  readonly #waiting = new Map<number, Proposal>();

  readonly #maxCount: number;

  readonly #maxBytes: number;

  #bytes = 0;

  constructor(maxCount: number, maxBytes: number) {
    this.#maxCount = maxCount;
    this.#maxBytes = maxBytes;
  }

  get length(): number {
    return this.#waiting.size;
  }

  hasRoomFor(bytes: number): boolean {
    return this.#waiting.size < this.#maxCount && this.#bytes + bytes <= this.#maxBytes;
  }

  /** Waits for the entry of an index. */
  add(index: number, bytes: number): Promise<Result<Applied, Failure>> {
    this.#bytes += bytes;
    return new Promise((resolve) => {
      this.#waiting.set(index, { bytes, settle: resolve });
    });
  }

  /** Answers the proposal of an index, if it is one of this leader. */
  settle(index: number, result: Uint8Array): void {
    const proposal = this.#waiting.get(index);
    if (!proposal) return;
    this.#waiting.delete(index);
    this.#bytes -= proposal.bytes;
    proposal.settle(ok({ index, result }));
  }

  /** Answers all that wait: whether they will be applied is not known. */
  abandon(code: Code = consensusCodes.leadershipLost): void {
    const waiting = [...this.#waiting.values()];
    this.#waiting.clear();
    this.#bytes = 0;
    for (const { settle } of waiting) {
      settle(fail(code, 'the outcome of the command is not known', { notRun: 'unknown' }));
    }
  }
}
