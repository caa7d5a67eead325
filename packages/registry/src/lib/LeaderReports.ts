import { DisposableStore, type Timer } from '@berylwood/base';
import type { Peer } from './Peers';
import type { UsageLedger } from './UsageLedger';

/** Interval of the reports of an instance that is about to stop, in milliseconds. */
const LEAVING_INTERVAL_MS = 200;

interface LeaderReportsOptions {
  /** Address at which other instances reach this one. */
  readonly address: string;
  /** Source of this instance's usage counts. */
  readonly source: string;
  readonly usage: UsageLedger;
  readonly timer: Timer;
  /** The connected leader, if any. */
  readonly leader: () => Peer | undefined;
}

/** Sends the reports of this instance to the leader of the registry. @internal */
export class LeaderReports implements Disposable {
  readonly #options: LeaderReportsOptions;

  readonly #store = new DisposableStore();

  #isLeaving = false;

  constructor(options: LeaderReportsOptions) {
    this.#options = options;
  }

  /** Whether this instance is about to stop. */
  get isLeaving(): boolean {
    return this.#isLeaving;
  }

  send(): void {
    const { address, source, timer, usage, leader } = this.#options;
    const peer = leader();
    if (!peer?.dialer.link || !peer.status) return;
    peer.dialer.link.send({
      type: 'report',
      instance: address,
      source,
      wallMs: timer.wall(),
      windows: usage.countsSince(source, peer.status.closedWindow),
      isLeaving: this.#isLeaving || undefined,
    });
  }

  /** Reports often from now on that this instance is about to stop, as the leader may change. */
  startLeaving(): void {
    if (this.#isLeaving) return;
    this.#isLeaving = true;
    this.send();
    this.#store.add(this.#options.timer.every(LEAVING_INTERVAL_MS, () => this.send()));
  }

  [Symbol.dispose](): void {
    this.#store[Symbol.dispose]();
  }
}
