import type { Incarnation } from './ids';
import type { MemberSilence } from './Message';

/**
 * Times of the latest contact with other members, by this replica or by a leader that it has followed. They outlast
 * a change of leader, so that a new leader need not find out again which members are silent.
 * @internal
 */
export class MemberContacts {
  /** Monotonic times of this replica, in milliseconds. */
  readonly #lastAt = new Map<Incarnation, number>();

  /** Records a contact; an earlier one than the latest that is known changes nothing. */
  record(incarnation: Incarnation, at: number): void {
    if (at > this.lastAt(incarnation)) this.#lastAt.set(incarnation, at);
  }

  /** Monotonic time of the latest contact; `-Infinity` without one. */
  lastAt(incarnation: Incarnation): number {
    return this.#lastAt.get(incarnation) ?? -Infinity;
  }

  /** Forgets all but the given members, and returns for how long each of them has been silent. */
  report(incarnations: readonly Incarnation[], now: number): MemberSilence[] {
    const kept = new Set(incarnations);
    for (const incarnation of this.#lastAt.keys()) {
      if (!kept.has(incarnation)) this.#lastAt.delete(incarnation);
    }
    return [...this.#lastAt].map(([incarnation, at]) => ({ incarnation, silenceMs: now - at }));
  }
}
