import type { Link } from '@berylwood/link';
import { InFlightWork } from './InFlightWork';
import type { AcceptorMessage, DialerMessage, EndpointWork, Work } from './MeshMessage';
import { RotatingBatch } from './RotatingBatch';
import type { WorkAttachments } from './WorkAttachments';

/** Link that another instance has dialled. @internal */
export type InstanceLink = Link<AcceptorMessage, DialerMessage>;

type LeaderLink = Link<DialerMessage, AcceptorMessage>;

/**
 * Messages with the work of other instances that the leader sends at a time. With a thousand instances each
 * still receives one within the second for which it is used.
 */
const MAX_WORK_MESSAGES = 100;

/** Collects the work in flight from all instances on the leader and sends them the sums. @internal */
export class WorkDistributor {
  readonly #inFlight = new InFlightWork<InstanceLink | 'own'>();

  readonly #batch = new RotatingBatch(MAX_WORK_MESSAGES);

  /** Sends the work of this instance to the leader. */
  report(
    endpoints: readonly EndpointWork[],
    leader: LeaderLink,
    attachments: WorkAttachments | undefined,
  ): void {
    leader.send({ type: 'work', endpoints, attachment: attachments?.createReport() });
  }

  /** Stores the work of the instance at the other end of a link. */
  receive(
    link: InstanceLink,
    instance: string,
    { endpoints, attachment }: Work,
    attachments: WorkAttachments | undefined,
  ): void {
    this.#inFlight.set(link, endpoints);
    if (instance !== '' && attachment !== undefined) {
      attachments?.receiveReport(instance, attachment);
    }
  }

  delete(link: InstanceLink): void {
    this.#inFlight.delete(link);
  }

  /**
   * Stores the work of this instance, sends the instances, or a part of them if there are many, the sum
   * over all others, and returns the sum over all but this one.
   * @param instances the address of the instance by link; empty if it is not known yet
   */
  distribute(
    own: readonly EndpointWork[],
    instances: ReadonlyMap<InstanceLink, string>,
    attachments: WorkAttachments | undefined,
  ): readonly EndpointWork[] {
    this.#inFlight.set('own', own);
    const others = this.#inFlight.sumExcluding('own');
    const known = [...instances].filter(([, instance]) => instance !== '');
    for (const [link, instance] of this.#batch.take(known)) {
      const endpoints = this.#inFlight.sumExcluding(link);
      link.send({ type: 'work', endpoints, attachment: attachments?.createUpdate(instance) });
    }
    return others;
  }
}
