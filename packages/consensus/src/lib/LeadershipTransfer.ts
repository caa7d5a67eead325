import type { Core } from './Core';
import { consensusEvents } from './events';
import type { Incarnation } from './ids';
import type { Leader } from './Leader';

/**
 * Transfers leadership to another voter. The leader abandons its lease for the rest of the term
 * before it asks the successor to start an election, so that the election need not wait for the
 * lease. If the successor is not elected in time, the leader steps down.
 * @internal
 */
export class LeadershipTransfer {
  readonly #core: Core;

  readonly #leader: Leader;

  readonly #deadline: number;

  readonly #successor: Incarnation;

  #hasSentTimeoutNow = false;

  constructor(core: Core, leader: Leader, successor: Incarnation) {
    this.#core = core;
    this.#leader = leader;
    this.#successor = successor;
    this.#deadline = core.now + core.settings.electionTimeoutMs;
    leader.setRejecting(true);
    core.settings.journal.record(consensusEvents.transferStarted, { successor });
  }

  /** Continues the transfer; returns false once it has timed out. */
  tick(): boolean {
    const { now, store } = this.#core;
    if (now >= this.#deadline) {
      this.#abort();
      return false;
    }
    const progress = this.#leader.progress(this.#successor);
    if (!this.#hasSentTimeoutNow && progress && progress.match === store.lastIndex) {
      this.#hasSentTimeoutNow = true;
      this.#leader.lease.abandon();
      this.#core.send(progress.identity, { type: 'timeoutNow' });
    }
    return true;
  }

  #abort(): void {
    if (this.#hasSentTimeoutNow) this.#core.sendRoleEvent({ type: 'quorumLost' });
    else this.#leader.setRejecting(false);
  }
}
