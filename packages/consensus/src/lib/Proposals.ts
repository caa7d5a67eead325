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
  readonly #pending = new Map<number, Proposal>();

  readonly #maxCount: number;

  readonly #maxBytes: number;

  #bytes = 0;

  constructor(maxCount: number, maxBytes: number) {
    this.#maxCount = maxCount;
    this.#maxBytes = maxBytes;
  }

  get length(): number {
    return this.#pending.size;
  }

  hasRoomFor(bytes: number): boolean {
    return this.#pending.size < this.#maxCount && this.#bytes + bytes <= this.#maxBytes;
  }

  /** Waits for the entry of an index. */
  add(index: number, bytes: number): Promise<Result<Applied, Failure>> {
    this.#bytes += bytes;
    return new Promise((resolve) => {
      this.#pending.set(index, { bytes, settle: resolve });
    });
  }

  /** Answers the proposal of an index, if it is one of this leader. */
  settle(index: number, result: Uint8Array): void {
    const proposal = this.#pending.get(index);
    if (!proposal) return;
    this.#pending.delete(index);
    this.#bytes -= proposal.bytes;
    proposal.settle(ok({ index, result }));
  }

  /** Answers all that wait: whether they will be applied is not known. */
  failAll(code: Code = consensusCodes.leadershipLost): void {
    const pending = [...this.#pending.values()];
    this.#pending.clear();
    this.#bytes = 0;
    for (const { settle } of pending) {
      settle(fail(code, 'the outcome of the command is not known', { notRun: 'unknown' }));
    }
  }
}
