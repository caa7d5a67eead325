import { majority } from './Membership';
import type { Core } from './Core';
import type { Identity, Incarnation } from './ids';
import type { Message, PreVote, PreVoteReply, Vote, VoteReply } from './Message';

/** Heartbeat intervals for which a replica that has asked for pre-votes goes before one with an equal log. */
const PRECEDENCE_HEARTBEATS = 1;

/**
 * Runs elections, with a pre-vote before the vote, and replies to the vote requests of peers. A
 * replica that has granted a lease grants neither pre-votes nor votes until the lease expires.
 * @internal
 */
export class Elector {
  /**
   * Longest remaining time, in milliseconds, of a lease that this replica or one of its voters may
   * have granted before a restart.
   */
  leaseRemainingMs = 0;

  /** Returns the end, by the monotonic clock, of the lease that this replica holds as leader. */
  ownLeaseEnd: () => number = () => 0;

  readonly #core: Core;

  readonly #grantedBy = new Set<Incarnation>();

  /** Monotonic time of the last pre-vote that this replica has asked for. */
  #preVoteAt = -Infinity;

  /** Whether this replica has granted a pre-vote since it asked for pre-votes itself. */
  #hasYielded = false;

  /** Term whose leader transferred leadership to this replica; 0 if none did. */
  #transferOf = 0;

  constructor(core: Core) {
    this.#core = core;
  }

  /** Starts an election at once; the leader that requested it has abandoned its lease. */
  startTransferElection(): void {
    this.#transferOf = this.#core.term;
    this.#core.resetElectionDeadline();
    this.#core.sendRoleEvent({ type: 'transferRequested' });
  }

  startPreVote(): void {
    const core = this.#core;
    core.leader = undefined;
    this.#transferOf = 0;
    this.#grantedBy.clear();
    this.#preVoteAt = core.now;
    this.#hasYielded = false;
    const { lastIndex, lastTerm } = core.store;
    const body: PreVote = { type: 'preVote', nextTerm: core.term + 1, lastIndex, lastTerm };
    core.peers.forEach((peer) => core.send(peer, body));
    this.#countGrant(core.identity.incarnation);
  }

  startVote(): void {
    const core = this.#core;
    core.saveTerm(core.term + 1, core.identity.incarnation);
    this.#grantedBy.clear();
    this.leaseRemainingMs = this.#preRestartLeaseMs;
    const { lastIndex, lastTerm } = core.store;
    const body: Vote = { type: 'vote', lastIndex, lastTerm, transferOf: this.#transferOf };
    this.#transferOf = 0;
    core.peers.forEach((peer) => core.send(peer, body));
    const { term } = core;
    core.whenSaved(() => {
      if (core.role !== 'candidate' || core.term !== term) return;
      // The requests have only been sent now.
      core.setElectionRetryDeadline();
      this.#countGrant(core.identity.incarnation);
    });
  }

  onPreVote({ from, body }: Message<PreVote>): void {
    const core = this.#core;
    const granted =
      body.nextTerm > core.term &&
      !this.#isBoundByLease(0) &&
      this.#isUpToDate(body) &&
      !this.#hasPrecedence(from.incarnation, body);
    if (granted) this.#hasYielded = true;
    core.send(from, { type: 'preVoteReply', nextTerm: body.nextTerm, granted });
  }

  onPreVoteReply({ from, body }: Message<PreVoteReply>): void {
    const core = this.#core;
    if (core.role !== 'preCandidate' || !body.granted || this.#hasYielded) return;
    if (body.nextTerm === core.term + 1) this.#countGrant(from.incarnation);
  }

  onVote({ from, term, body }: Message<Vote>): void {
    const core = this.#core;
    // A vote rejected because of a lease does not advance the term, so the leader keeps its role.
    if (term < core.term || this.#isBoundByLease(body.transferOf)) {
      this.#rejectVote(from);
      return;
    }
    const isNewer = term > core.term;
    const isGranted = this.#isUpToDate(body) && (isNewer || this.#mayVote(from.incarnation));
    // The term and the vote share one write; with two, an election takes longer than its time-out on a slow disk.
    if (isNewer || isGranted) core.saveTerm(term, isGranted ? from.incarnation : '');
    if (isNewer) core.sendRoleEvent({ type: 'newerTerm' });
    if (!isGranted) {
      this.#rejectVote(from);
      return;
    }
    core.resetElectionDeadline();
    const leaseRemainingMs = this.#preRestartLeaseMs;
    core.send(from, { type: 'voteReply', granted: true, leaseRemainingMs });
  }

  #rejectVote(candidate: Identity): void {
    this.#core.send(candidate, { type: 'voteReply', granted: false, leaseRemainingMs: 0 });
  }

  onVoteReply({ from, body }: Message<VoteReply>): void {
    if (this.#core.role !== 'candidate' || !body.granted) return;
    this.leaseRemainingMs = Math.max(this.leaseRemainingMs, body.leaseRemainingMs);
    this.#countGrant(from.incarnation);
  }

  /** Longest remaining time, in milliseconds, of a lease granted before this replica restarted. */
  get #preRestartLeaseMs(): number {
    return Math.max(0, this.#core.preRestartLeaseUntil - this.#core.now);
  }

  #isBoundByLease(transferOf: number): boolean {
    const { settings, grantedLease, now } = this.#core;
    if (settings.unsafe.ignoreGrantedLease) return false;
    const isBound = now < grantedLease.expiresAt && grantedLease.term !== transferOf;
    return isBound || now < this.ownLeaseEnd();
  }

  #isUpToDate({ lastIndex, lastTerm }: Pick<Vote, 'lastIndex' | 'lastTerm'>): boolean {
    const { store } = this.#core;
    if (lastTerm !== store.lastTerm) return lastTerm > store.lastTerm;
    return lastIndex >= store.lastIndex;
  }

  /**
   * Whether this replica has just asked for pre-votes itself and goes first. If two replicas granted each other's
   * pre-vote, both would stand and split the votes. The precedence is short, as this one may reach no quorum.
   */
  #hasPrecedence(candidate: Incarnation, { lastIndex, lastTerm }: PreVote): boolean {
    const { role, now, settings, store, identity } = this.#core;
    if (role !== 'preCandidate') return false;
    if (now - this.#preVoteAt >= PRECEDENCE_HEARTBEATS * settings.heartbeatMs) return false;
    if (lastTerm !== store.lastTerm || lastIndex !== store.lastIndex) return false;
    return identity.incarnation > candidate;
  }

  #mayVote(candidate: Incarnation): boolean {
    const { vote, role } = this.#core;
    return (vote === '' && role !== 'leader') || vote === candidate;
  }

  #countGrant(incarnation: Incarnation): void {
    const core = this.#core;
    this.#grantedBy.add(incarnation);
    const isQuorum = core.voterSets.every((set) => {
      const count = set.filter((voter) => this.#grantedBy.has(voter)).length;
      return count >= majority(set.length);
    });
    if (!isQuorum) return;
    core.sendRoleEvent({ type: core.role === 'preCandidate' ? 'preVoteWon' : 'voteWon' });
  }
}
