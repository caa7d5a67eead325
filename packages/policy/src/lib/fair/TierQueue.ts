import { FairQueue } from '../queue/FairQueue';
import { Heap } from '../queue/Heap';
import type { Ticket } from './Ticket';

/** Size above twice the number of waiting tickets at which a heap is compacted. */
const COMPACT_AT = 64;

/** The waiting tickets of one tier of a pool. @internal */
export class TierQueue {
  readonly tier: number;

  readonly fair = new FairQueue<Ticket>();

  /** Tickets that can still start in time, the earliest start time first. */
  readonly #bySlack = new Heap<Ticket>(
    ({ startBy }) => startBy,
    ({ isWaiting }) => isWaiting,
  );

  /** Tickets by the end of their maximum wait. */
  readonly #byExpiry = new Heap<Ticket>(
    ({ job }) => job.expiresAt,
    ({ isWaiting }) => isWaiting,
  );

  constructor(tier: number) {
    this.tier = tier;
  }

  add(ticket: Ticket): void {
    this.fair.add(ticket);
    this.#bySlack.push(ticket);
    this.#byExpiry.push(ticket);
  }

  remove(ticket: Ticket): void {
    this.fair.remove(ticket);
    for (const heap of [this.#bySlack, this.#byExpiry]) {
      if (heap.size > 2 * this.fair.waiting + COMPACT_AT) heap.compact();
    }
  }

  /** The ticket with the least time left among those that can still start in time. */
  mostUrgent(now: number): Ticket | undefined {
    for (;;) {
      const head = this.#bySlack.peek();
      if (!head || head.startBy >= now) return head;
      this.#bySlack.pop();
    }
  }

  /** The ticket whose maximum wait ends first. */
  firstToExpire(): Ticket | undefined {
    return this.#byExpiry.peek();
  }
}
