import type { Incarnation } from './ids';
import { EMPTY_MEMBERSHIP, type Member, type Membership } from './Membership';

interface MembershipVersion {
  readonly index: number;
  readonly membership: Membership;
}

/** The memberships in the log; the latest one binds as soon as it is in the log. @internal */
export class MembershipHistory {
  #versions: MembershipVersion[] = [{ index: 0, membership: EMPTY_MEMBERSHIP }];

  /** The membership that binds now. */
  get latest(): Membership {
    return this.#last.membership;
  }

  /** Index of the entry that holds the latest membership; 0 before there is one. */
  get latestIndex(): number {
    return this.#last.index;
  }

  /** Adds the membership of a new entry. */
  add(index: number, membership: Membership): void {
    this.truncate(index);
    this.#versions.push({ index, membership });
  }

  /** Forgets the memberships of entries from the index on, which were overwritten. */
  truncate(index: number): void {
    this.#versions = this.#versions.filter((item) => item.index < index);
    if (this.#versions.length === 0) this.reset(0, EMPTY_MEMBERSHIP);
  }

  /** Starts over from the membership of a snapshot. */
  reset(index: number, membership: Membership): void {
    this.#versions = [{ index, membership }];
  }

  /** The membership that was in force at an index. */
  at(index: number): Membership {
    return this.#versions.findLast((item) => item.index <= index)?.membership ?? EMPTY_MEMBERSHIP;
  }

  /** Forgets the versions before the one that is in force at an index. */
  compact(index: number): void {
    const first = this.#versions.findLastIndex((item) => item.index <= index);
    if (first > 0) this.#versions = this.#versions.slice(first);
  }

  /** The member of an incarnation in the latest membership. */
  find(incarnation: Incarnation): Member | undefined {
    return this.latest.members.find((item) => item.incarnation === incarnation);
  }

  get #last(): MembershipVersion {
    return this.#versions.at(-1) as MembershipVersion;
  }
}
