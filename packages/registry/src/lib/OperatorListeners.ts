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
   * are about to stop are left out. Undefined if none is known.
   */
  pickFastest(random: Random): OperatorListener | undefined {
    const listeners = this.#peers.statuses.flatMap(({ operators, isLeaving }) =>
      operators && !isLeaving ? operators : [],
    );
    const highestMbps = Math.max(...listeners.map(({ linkMbps }) => linkMbps));
    const fastest = listeners.filter(({ linkMbps }) => linkMbps === highestMbps);
    return fastest.length > 0 ? random.pick(fastest) : undefined;
  }
}
