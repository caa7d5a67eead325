import { err, ok, type Result } from 'neverthrow';
import { fail, type Failure } from '@berylwood/base';
import { consensusCodes } from './codes';
import type { Core } from './Core';
import { EntryKind } from './Entry';
import { consensusEvents } from './events';
import type { Identity, Incarnation, ReplicaName } from './ids';
import type { Leader } from './Leader';
import {
  encodeMembership,
  majority,
  voters,
  withAdmission,
  withJoiner,
  withKind,
  withPromoted,
  withoutOutgoing,
  withoutMember,
  withoutReplica,
  type Member,
  type MemberKind,
  type Membership,
} from './Membership';
import type { Join, Message } from './Message';

/** A member is reachable if it replied to a message sent within this many heartbeat intervals. */
const REACHABLE_HEARTBEATS = 5;

interface JoinRequest {
  readonly identity: Identity;
  readonly address: string;
}

/** Changes the membership for the leader, one change at a time. @internal */
export class MembershipChanger {
  readonly #core: Core;

  readonly #leader: Leader;

  /** Pending join requests by replica. */
  readonly #joinRequests = new Map<ReplicaName, JoinRequest>();

  constructor(core: Core, leader: Leader) {
    this.#core = core;
    this.#leader = leader;
  }

  /** Admits a replica by name; it is added on its join request. */
  admit(replica: ReplicaName, voter: boolean): Promise<Result<void, Failure>> {
    return this.#proposeChange(withAdmission(this.#latest, { replica, voter }));
  }

  /** Removes a replica and its permission to join. */
  async remove(replica: ReplicaName): Promise<Result<void, Failure>> {
    const isKnown = [...this.#latest.members, ...this.#latest.admitted].some(
      (item) => item.replica === replica,
    );
    if (!isKnown) return fail(consensusCodes.membershipInvalid, `unknown replica ${replica}`);
    return this.#proposeRemoval(withoutReplica(this.#latest, replica));
  }

  /** Removes one member; other incarnations of its replica stay. */
  async removeMember(incarnation: Incarnation): Promise<Result<void, Failure>> {
    if (!this.#find(incarnation)) return this.#unknownMember(incarnation);
    return this.#proposeRemoval(withoutMember(this.#latest, incarnation));
  }

  #find(incarnation: Incarnation): Member | undefined {
    return this.#latest.members.find((item) => item.incarnation === incarnation);
  }

  #unknownMember<T>(incarnation: Incarnation): Result<T, Failure> {
    return fail(consensusCodes.membershipInvalid, `unknown member ${incarnation}`);
  }

  async #proposeRemoval(remaining: Membership): Promise<Result<void, Failure>> {
    const reachable = voters(remaining).filter((incarnation) => this.#isReachable(incarnation));
    if (reachable.length < majority(voters(remaining).length)) {
      return fail(
        consensusCodes.membershipInvalid,
        'fewer than a majority of the remaining voters are reachable',
      );
    }
    return this.#proposeChange(remaining);
  }

  /**
   * Changes the kind of a member. A learner becomes a voter once it has synced all committed
   * entries; a voter becomes a learner at once.
   */
  async assignKind(
    incarnation: Incarnation,
    kind: 'joining' | 'learner',
  ): Promise<Result<void, Failure>> {
    const member = this.#find(incarnation);
    if (!member) return this.#unknownMember(incarnation);
    const isPromotion = member.kind === 'learner' && kind === 'joining';
    if (!isPromotion && !(member.kind !== 'learner' && kind === 'learner')) {
      const message = `${member.replica} of kind ${member.kind} cannot change to ${kind}`;
      return fail(consensusCodes.membershipInvalid, message);
    }
    const changed = await this.#proposeChange(withKind(this.#latest, incarnation, kind));
    this.tick();
    return changed;
  }

  /** Queues a join request if the membership or the admission policy allows the replica. */
  onJoin({ from, body }: Message<Join>): void {
    const { members, admitted } = this.#latest;
    if (members.some((item) => item.incarnation === from.incarnation)) return;
    const isNamed = [...members, ...admitted].some((item) => item.replica === from.replica);
    const isExpected = isNamed || this.#admittedKind(from.replica) !== undefined;
    const { journal } = this.#core.settings;
    if (!this.#joinRequests.has(from.replica)) {
      journal.record(consensusEvents.joinRequested, { ...from, isExpected });
    }
    if (!isExpected) return;
    this.#joinRequests.set(from.replica, { identity: from, address: body.address });
    this.tick();
  }

  /** Starts the next pending change: the end of a joint configuration, a join or a promotion. */
  tick(): void {
    if (!this.#canChange) return;
    if (this.#latest.outgoing) {
      this.#appendMembership(withoutOutgoing(this.#latest));
      return;
    }
    const [request] = this.#joinRequests.values();
    if (request) {
      this.#joinRequests.delete(request.identity.replica);
      this.#addJoiner(request);
      return;
    }
    const promotable = this.#latest.members.find(
      (member) =>
        member.kind === 'joining' &&
        this.#isSynced(member) &&
        this.#core.settings.admission.mayVote(member.replica),
    );
    if (promotable) this.#appendMembership(withPromoted(this.#latest, promotable.incarnation));
  }

  get #latest(): Membership {
    return this.#core.membership.latest;
  }

  /**
   * Whether the latest membership is committed and so is an entry of this term. During a transfer of leadership
   * another entry would make the log of the successor the shorter one, and it could not be elected.
   */
  get #canChange(): boolean {
    const { commitIndex, membership } = this.#core;
    const { isEstablished, isRejecting } = this.#leader;
    return isEstablished && !isRejecting && membership.latestIndex <= commitIndex;
  }

  /** Whether a learner has synced all committed entries and is reachable. */
  #isSynced({ incarnation }: Identity): boolean {
    const progress = this.#leader.progress(incarnation);
    if (!progress || progress.match < this.#core.commitIndex) return false;
    return this.#isReachable(incarnation);
  }

  #isReachable(incarnation: Incarnation): boolean {
    if (this.#core.isSelf({ incarnation })) return true;
    const { now, settings } = this.#core;
    const lastReplyAt = this.#leader.progress(incarnation)?.stamp.mono ?? -Infinity;
    return now - lastReplyAt <= REACHABLE_HEARTBEATS * settings.heartbeatMs;
  }

  #admittedKind(replica: ReplicaName): Exclude<MemberKind, 'voter'> | undefined {
    return this.#core.settings.admission.admit(replica, this.#latest);
  }

  #addJoiner({ identity, address }: JoinRequest): void {
    const { members, admitted } = this.#latest;
    const admission = admitted.find((item) => item.replica === identity.replica);
    const earlier = members.find((item) => item.replica === identity.replica);
    const kind = this.#admittedKind(identity.replica);
    if (!admission && !earlier && !kind) return;
    const isVoter = admission ? admission.voter : (earlier?.kind ?? kind) !== 'learner';
    this.#appendMembership(withJoiner(this.#latest, identity, address, isVoter));
  }

  async #proposeChange(membership: Membership): Promise<Result<void, Failure>> {
    if (!this.#canChange || this.#latest.outgoing) {
      return fail(consensusCodes.membershipBusy, 'another membership change is not committed yet');
    }
    if (voters(membership).length === 0) {
      return fail(
        consensusCodes.membershipInvalid,
        'the change would leave the group without a voter',
      );
    }
    const result = await this.#appendMembership(membership);
    return result.isErr() ? err(result.error) : ok(undefined);
  }

  #appendMembership(membership: Membership): ReturnType<Leader['waitFor']> {
    const entry = this.#leader.append(EntryKind.Membership, encodeMembership(membership));
    return this.#leader.waitFor(entry);
  }
}
