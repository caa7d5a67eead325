import type { Core } from './Core';
import type { ReplicaName } from './ids';
import type { Leader } from './Leader';
import { LeadershipTransfer } from './LeadershipTransfer';
import { MembershipChanger } from './MembershipChanger';

/** What a replica does as leader of one term, with its membership changes and leadership transfer. @internal */
export class Leadership implements Disposable {
  readonly leader: Leader;

  readonly changer: MembershipChanger;

  readonly #core: Core;

  #transfer: LeadershipTransfer | undefined;

  constructor(core: Core, leader: Leader) {
    this.#core = core;
    this.leader = leader;
    this.changer = new MembershipChanger(core, leader);
  }

  get isTransferring(): boolean {
    return this.#transfer !== undefined;
  }

  /** Starts a transfer to a voter that is not excluded; false without one, or while another transfer runs. */
  startTransfer(isExcluded: (replica: ReplicaName) => boolean): boolean {
    const { leader } = this;
    if (this.#transfer || !LeadershipTransfer.hasSuccessor(leader, isExcluded)) return false;
    this.#transfer = new LeadershipTransfer(this.#core, leader, isExcluded);
    this.#tickTransfer();
    return true;
  }

  /** Does what is due; the leader may step down. */
  tick(): void {
    this.leader.tick();
    if (this.#core.role !== 'leader') return;
    this.changer.tick();
    this.#tickTransfer();
  }

  [Symbol.dispose](): void {
    this.leader[Symbol.dispose]();
  }

  #tickTransfer(): void {
    if (this.#transfer?.tick() === false) this.#transfer = undefined;
  }
}
