import type { Core } from './Core';
import { consensusEvents } from './events';
import type { Incarnation } from './ids';
import type { Leader } from './Leader';

/**
 * Hands leadership to another voter. The lease is given up for the rest of the term before the
 * successor is told to stand, so that its election need not wait for the lease; if the successor
 * is not elected, the leader steps down.
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

  /** Goes on with the transfer; false once it has ended. */
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
