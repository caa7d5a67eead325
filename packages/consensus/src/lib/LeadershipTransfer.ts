import type { Core } from './Core';
import { consensusEvents } from './events';
import type { Identity, Incarnation, ReplicaName } from './ids';
import type { Leader } from './Leader';

/**
 * Heartbeat intervals after which another successor is asked, since the one before may be gone. The time that it takes
 * to write its own vote comes on top: two successors that stand at the same time split the votes.
 * @internal
 */
export const RETRY_HEARTBEATS = 2;

/**
 * Transfers leadership to another voter. The leader abandons its lease for the rest of the term
 * before it asks a successor to start an election, so that the election need not wait for the
 * lease. If no successor is elected in time, the leader steps down.
 * @internal
 */
export class LeadershipTransfer {
  readonly #core: Core;

  readonly #leader: Leader;

  readonly #isExcluded: (replica: ReplicaName) => boolean;

  readonly #deadline: number;

  readonly #tried = new Set<Incarnation>();

  #successor: Identity | undefined;

  /** Monotonic time at which the successor was chosen. */
  #chosenAt = -Infinity;

  #hasAsked = false;

  /** Excluded replicas are no successors, as they are about to stop. */
  constructor(core: Core, leader: Leader, isExcluded: (replica: ReplicaName) => boolean) {
    this.#core = core;
    this.#leader = leader;
    this.#isExcluded = isExcluded;
    this.#deadline = core.now + core.settings.electionTimeoutMs + core.voteWriteMs;
    leader.setRejecting(true);
  }

  /** Continues the transfer; returns false once it has timed out. */
  tick(): boolean {
    const { now, settings, voteWriteMs } = this.#core;
    if (now >= this.#deadline) {
      this.#abort();
      return false;
    }
    const retryMs = RETRY_HEARTBEATS * settings.heartbeatMs + voteWriteMs;
    if (now - this.#chosenAt >= retryMs) this.#chooseNext();
    this.#ask();
    return true;
  }

  /** Whether a voter may succeed the leader. */
  static hasSuccessor(leader: Leader, isExcluded: (replica: ReplicaName) => boolean): boolean {
    return leader.successors.some(({ replica }) => !isExcluded(replica));
  }

  #chooseNext(): void {
    const next = this.#leader.successors.find(
      ({ replica, incarnation }) => !this.#isExcluded(replica) && !this.#tried.has(incarnation),
    );
    if (!next) return;
    this.#tried.add(next.incarnation);
    this.#successor = next;
    this.#chosenAt = this.#core.now;
    const { incarnation: successor } = next;
    this.#core.settings.journal.record(consensusEvents.transferStarted, { successor });
  }

  /** Asks the successor to stand once it has the whole log. */
  #ask(): void {
    const successor = this.#successor;
    const progress = successor && this.#leader.progress(successor.incarnation);
    if (!progress || progress.match !== this.#core.store.lastIndex) return;
    this.#successor = undefined;
    this.#hasAsked = true;
    this.#leader.lease.abandon();
    this.#core.send(progress.identity, { type: 'timeoutNow' });
  }

  #abort(): void {
    if (this.#hasAsked) this.#core.sendRoleEvent({ type: 'quorumLost' });
    else this.#leader.setRejecting(false);
  }
}
