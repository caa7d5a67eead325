import type { Random } from '@berylwood/base';
import type { OperatorListener } from './OperatorListener';
import type { Peers } from './Peers';

/** Listeners for operators that connected instances have stated. @public */
export class OperatorListeners {
  readonly #peers: Pick<Peers, 'statuses'>;

  constructor(peers: Pick<Peers, 'statuses'>) {
    this.#peers = peers;
  }

  /**
   * A listener behind the fastest link that is known; one of them at random if several are as fast. Instances that
   * are about to stop are left out, and the leader, which sends each new configuration to all, as long as another
   * link is as fast. Undefined if none is known.
   */
  pickFastest(random: Random): OperatorListener | undefined {
    const known = this.#peers.statuses.flatMap(({ operators, isLeader, isLeaving }) =>
      operators && !isLeaving ? { operators, isLeader } : [],
    );
    const highestMbps = Math.max(...known.map(({ operators }) => operators.linkMbps));
    const fastest = known.filter(({ operators }) => operators.linkMbps === highestMbps);
    const followers = fastest.filter(({ isLeader }) => !isLeader);
    const candidates = followers.length > 0 ? followers : fastest;
    return candidates.length > 0 ? random.pick(candidates).operators : undefined;
  }
}
