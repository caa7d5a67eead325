import type { Link } from '@berylwood/link';
import { InFlightWork } from './InFlightWork';
import type { AcceptorMessage, DialerMessage, EndpointWork } from './MeshMessage';
import { RotatingBatch } from './RotatingBatch';

type InstanceLink = Link<AcceptorMessage, DialerMessage>;

/**
 * Messages with the work of other instances that the leader sends at a time. With a thousand instances each
 * still receives one within the second for which it is used.
 */
const MAX_WORK_MESSAGES = 100;

/** Collects the work in flight from all instances on the leader and sends them the sums. @internal */
export class WorkDistributor {
  readonly #inFlight = new InFlightWork<InstanceLink | 'own'>();

  readonly #batch = new RotatingBatch(MAX_WORK_MESSAGES);

  /** Stores the work of the instance at the other end of a link. */
  set(link: InstanceLink, endpoints: readonly EndpointWork[]): void {
    this.#inFlight.set(link, endpoints);
  }

  delete(link: InstanceLink): void {
    this.#inFlight.delete(link);
  }

  /**
   * Stores the work of this instance, sends the instances, or a part of them if there are many, the sum
   * over all others, and returns the sum over all but this one.
   */
  distribute(
    own: readonly EndpointWork[],
    links: readonly InstanceLink[],
  ): readonly EndpointWork[] {
    this.#inFlight.set('own', own);
    const others = this.#inFlight.sumExcluding('own');
    for (const link of this.#batch.take(links)) {
      link.send({ type: 'work', endpoints: this.#inFlight.sumExcluding(link) });
    }
    return others;
  }
}
