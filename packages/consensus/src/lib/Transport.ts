import type { ReplicaName } from './ids';
import type { Message } from './Message';

/**
 * Carries messages between replicas; implemented by the embedder. Messages may be lost, duplicated,
 * delayed and reordered, but not altered. A transport must bound its buffer for a replica that does
 * not read, and may drop the excess.
 * @public
 */
export abstract class Transport {
  /** Set by the replica; the transport calls it with each message for that replica. */
  onMessage: (message: Message) => void = () => {};

  /** Sends without waiting. `address` is the one in the membership; empty if it is not known. */
  abstract send(to: ReplicaName, message: Message, address: string): void;
}
