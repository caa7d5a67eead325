import type { Failure, Timer } from '@berylwood/base';
import type { Result } from 'neverthrow';
import type { MemberContact } from './contactWith';
import type { ReplicaName } from './ids';
import type { Member } from './Membership';
import {
  isUndecided,
  mustLeadOn,
  planMembership,
  type MemberHealth,
  type MembershipLimits,
  type MembershipStep,
  type MembershipView,
} from './planMembership';
import type { Replica } from './Replica';

/** Options of a membership keeper. @public */
export interface MembershipKeeperOptions {
  readonly replica: Replica;
  readonly timer: Timer;
  /** Number of voters that the group should have. */
  readonly target: number;
  readonly limits: MembershipLimits;
  /** Called before each change. */
  readonly onPlanned: (step: MembershipStep, members: readonly MemberHealth[]) => void;
  /** Called with each change that the group did not accept. */
  readonly onRefused: (step: MembershipStep, failure: Failure) => void;
}

/**
 * Time for which a member counts as leaving after it has last said so, in milliseconds. A member that leaves
 * repeats it until its process ends.
 */
const LEAVING_TTL_MS = 1500;

/** Interval of the checks while the next change can be due at any moment, in milliseconds. @internal */
export const FAST_CHECK_INTERVAL_MS = 25;

/**
 * Keeps the votes of a group with members that reply and stay. It acts only on the leader, by one change of
 * the membership at a time; on every replica it keeps what the next leader has to know.
 * @public
 */
export class MembershipKeeper {
  readonly #options: MembershipKeeperOptions;

  /** By replica, the time until which it counts as leaving. */
  readonly #leavingUntil = new Map<ReplicaName, number>();

  #isChanging = false;

  /** Monotonic time at which this replica first held the lease of its term; `Infinity` while it does not lead. */
  #leaderSince = Infinity;

  #nextCheck: Disposable | undefined;

  constructor(options: MembershipKeeperOptions) {
    this.#options = options;
  }

  /** Records whether a member is about to stop; call it repeatedly while it is. */
  setLeaving(replica: ReplicaName, isLeaving: boolean): void {
    if (!isLeaving) this.#leavingUntil.delete(replica);
    else this.#leavingUntil.set(replica, this.#options.timer.now() + LEAVING_TTL_MS);
  }

  /** Whether a member is about to stop. */
  isLeaving(replica: ReplicaName): boolean {
    this.#expireLeaving();
    return this.#leavingUntil.has(replica);
  }

  /** Makes the next change if one is due; call it regularly on every replica. */
  check(): void {
    const { replica, timer } = this.#options;
    if (!replica.holdsLease) {
      this.#leaderSince = Infinity;
      return;
    }
    this.#leaderSince = Math.min(this.#leaderSince, timer.now());
    if (this.#isChanging) return;
    const { membership, settledMembership } = replica.status;
    const view = this.#view;
    const step = membership === settledMembership ? planMembership(view) : undefined;
    if (step) this.#change(step, view.members);
    else if (membership !== settledMembership || isUndecided(view)) this.#checkSoon();
  }

  /**
   * Gives leadership up before a planned stop, to a voter that stays; call it repeatedly until the stop. Does
   * nothing while another member is lost and the group can recover sooner under this leader.
   */
  async leave(): Promise<void> {
    const { replica } = this.#options;
    this.setLeaving(replica.status.identity.replica, true);
    replica.yieldElections();
    this.check();
    if (!replica.holdsLease || mustLeadOn(this.#view)) return;
    await this.transferLeadership();
  }

  /** Transfers leadership to a voter that is not about to stop. */
  async transferLeadership(): Promise<void> {
    await this.#options.replica.transferLeadership((name) => this.isLeaving(name));
  }

  get #view(): MembershipView {
    const { replica, target, limits } = this.#options;
    const { leadershipMs } = replica;
    const members = replica.status.membership.members.map((member) => this.#healthOf(member));
    return { members, target, limits, leadershipMs };
  }

  /** Checks again shortly, as the group may change again once the change before is committed. */
  #checkSoon(): void {
    if (this.#nextCheck) return;
    this.#nextCheck = this.#options.timer.after(FAST_CHECK_INTERVAL_MS, () => {
      this.#nextCheck = undefined;
      this.check();
    });
  }

  #expireLeaving(): void {
    const now = this.#options.timer.now();
    for (const [name, until] of this.#leavingUntil) {
      if (until <= now) this.#leavingUntil.delete(name);
    }
  }

  #healthOf(member: Member): MemberHealth {
    const { replica } = this.#options;
    const { replica: name, incarnation } = member;
    const contact = replica.contactWith(incarnation);
    const { silenceMs } = contact;
    return {
      ...member,
      silenceMs: silenceMs ?? this.#unansweredMs(contact),
      hasReplied: silenceMs !== undefined,
      isLeaving: this.isLeaving(name),
      isSelf: incarnation === replica.status.identity.incarnation,
    };
  }

  /**
   * Silence of a member that has not replied to this leader. It counts from when the leader has begun to send to it, as
   * it may have joined just now. What earlier leaders have seen counts once the member has had time to reply to
   * this one, and without the time that a change of leader takes.
   */
  #unansweredMs({ contactedMs, knownSilenceMs: knownMs }: MemberContact): number {
    const { replica, timer, limits } = this.#options;
    const leadingMs = timer.now() - this.#leaderSince;
    const unansweredMs = Math.min(leadingMs, contactedMs);
    if (knownMs === undefined || replica.leadershipMs < limits.confirmAfterMs) return unansweredMs;
    return Math.max(unansweredMs, knownMs - limits.leaderlessMs);
  }

  #change(step: MembershipStep, members: readonly MemberHealth[]): void {
    const { onPlanned, onRefused } = this.#options;
    this.#isChanging = true;
    onPlanned(step, members);
    this.#apply(step)
      .then((result) => {
        this.#isChanging = false;
        if (result.isErr()) onRefused(step, result.error);
        else this.check();
      })
      .finally(() => {
        this.#isChanging = false;
      });
  }

  #apply({ incarnation, change }: MembershipStep): Promise<Result<void, Failure>> {
    const { replica } = this.#options;
    if (change === 'remove') return replica.removeMember(incarnation);
    return replica.assignKind(incarnation, change === 'promote' ? 'joining' : 'learner');
  }
}
