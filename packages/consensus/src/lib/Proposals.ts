import { ok, type Result } from 'neverthrow';
import { fail, type Code, type Failure } from '@berylwood/base';
import { consensusCodes } from './codes';
import type { Applied } from './ReplicatedLog';

interface Proposal {
  readonly bytes: number;
  readonly settle: (result: Result<Applied, Failure>) => void;
}

/** Proposals in this leader's log that are not applied yet, bounded in number and size. */
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

  /** Adds the proposal at an index; resolves with its result. */
  add(index: number, bytes: number): Promise<Result<Applied, Failure>> {
    this.#bytes += bytes;
    return new Promise((resolve) => {
      this.#pending.set(index, { bytes, settle: resolve });
    });
  }

  /** Settles the proposal at an index, if this leader has one there. */
  settle(index: number, result: Uint8Array): void {
    const proposal = this.#pending.get(index);
    if (!proposal) return;
    this.#pending.delete(index);
    this.#bytes -= proposal.bytes;
    proposal.settle(ok({ index, result }));
  }

  /** Fails all pending proposals with an unknown outcome: they may still be applied. */
  failAll(code: Code = consensusCodes.leadershipLost): void {
    const pending = [...this.#pending.values()];
    this.#pending.clear();
    this.#bytes = 0;
    for (const { settle } of pending) {
      settle(fail(code, 'the outcome of the command is unknown', { notRun: 'unknown' }));
    }
  }
}
