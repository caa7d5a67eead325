import type { Journal, Timer } from '@berylwood/base';
import type { LogStatus, ReplicatedLog } from '@berylwood/consensus';
import type { Ledger } from '@berylwood/ledger';
import { createActor, setup } from 'xstate';
import { controlEvents } from './events';
import type { Proposer } from './Proposer';

/** Options of the leadership. @public */
export interface LeadershipOptions {
  readonly timer: Timer;
  readonly journal: Journal;
  readonly log: ReplicatedLog;
  readonly ledger: Ledger;
  readonly proposer: Proposer;
  readonly replica: string;
  /** Length of usage windows in milliseconds; the first leader of a group fixes it. */
  readonly windowMs: number;
}

/** Delay before another attempt to acquire the fencing number. */
const RETRY_DELAY_MS = 50;

const machine = setup({
  types: { events: {} as { type: 'elected' } | { type: 'deposed' } | { type: 'fenced' } },
  actions: { takeFence: () => {}, established: () => {}, lost: () => {} },
}).createMachine({
  id: 'leadership',
  initial: 'following',
  states: {
    following: { on: { elected: 'establishing' } },
    establishing: {
      entry: 'takeFence',
      on: { fenced: 'leading', deposed: 'following', elected: 'establishing' },
    },
    leading: {
      entry: 'established',
      exit: 'lost',
      on: { deposed: 'following', elected: 'establishing' },
    },
  },
});

/**
 * Leadership of the control group. An elected replica leads once its fencing number is committed.
 * The log commits nothing before the lease of the former leader has expired, and after the first
 * commit of its term the leader's state includes everything that was committed before.
 * @public
 */
export class Leadership implements Disposable {
  /** Called when this replica begins to lead. */
  onEstablished: () => void = () => {};

  /** Called when this replica no longer leads. */
  onLost: () => void = () => {};

  readonly #options: LeadershipOptions;

  readonly #actor;

  /** Whether the state machine is in `leading`; already set while its entry actions run. */
  #isLeading = false;

  #fence = 0;

  #term = 0;

  constructor(options: LeadershipOptions) {
    this.#options = options;
    const provided = machine.provide({
      actions: {
        takeFence: () => {
          this.#acquireFence(this.#term);
        },
        established: () => this.#establish(),
        lost: () => this.#lose(),
      },
    });
    this.#actor = createActor(provided);
  }

  /** Starts to follow the role of the replica. */
  open(): void {
    const { log } = this.#options;
    this.#actor.start();
    // The log calls `onRole` before its own status reflects the change.
    log.onRole = () => queueMicrotask(() => this.#followRole(log.status));
    this.#followRole(log.status);
  }

  /** Whether this replica believes that it leads; check `mayAct` before an external effect. */
  get isLeading(): boolean {
    return this.#isLeading;
  }

  /** Fencing number of this leadership. */
  get fence(): number {
    return this.#fence;
  }

  /**
   * Whether this replica leads and its lease lasts for more than `remainingMs` milliseconds. Call it
   * in the same tick as the effect that it guards.
   */
  mayAct(remainingMs = 0): boolean {
    const { log, ledger, timer } = this.#options;
    return (
      this.isLeading &&
      log.holdsLease &&
      log.leaseEndsAt - timer.now() > remainingMs &&
      ledger.feed.fence === this.#fence
    );
  }

  /** Acquires a new fencing number within this leadership, after a restore has advanced it. */
  async renewFence(): Promise<void> {
    const { proposer, timer, replica } = this.#options;
    const fenced = await proposer.propose({ type: 'fence', at: timer.wall(), replica });
    if (fenced.isOk() && fenced.value.type === 'done') this.#fence = fenced.value.fence;
  }

  [Symbol.dispose](): void {
    this.#options.log.onRole = () => {};
    this.#actor.stop();
  }

  #followRole({ role, term }: LogStatus): void {
    if (role !== 'leader') {
      this.#actor.send({ type: 'deposed' });
      return;
    }
    if (term === this.#term) return;
    this.#term = term;
    this.#actor.send({ type: 'elected' });
  }

  async #acquireFence(term: number): Promise<void> {
    const { proposer, timer, replica, windowMs, log } = this.#options;
    const isCurrent = (): boolean => log.status.role === 'leader' && log.status.term === term;
    while (isCurrent()) {
      const at = timer.wall();
      const fenced = await proposer.propose({ type: 'fence', at, replica, windowMs });
      if (fenced.isOk() && fenced.value.type === 'done' && isCurrent()) {
        this.#fence = fenced.value.fence;
        this.#actor.send({ type: 'fenced' });
        return;
      }
      await timer.sleep(RETRY_DELAY_MS);
    }
  }

  #establish(): void {
    const { journal } = this.#options;
    this.#isLeading = true;
    journal.record(controlEvents.leadershipTaken, { term: this.#term, fence: this.#fence });
    this.onEstablished();
  }

  #lose(): void {
    this.#isLeading = false;
    this.#options.journal.record(controlEvents.leadershipLost, { fence: this.#fence });
    this.onLost();
  }
}
