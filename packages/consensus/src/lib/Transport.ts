import type { ReplicaName } from './ids';
import type { Message } from './Message';

/**
 * Carries messages between replicas; the embedder provides it. Messages may be lost, repeated,
 * delayed and reordered, but not altered. A transport must bound what it holds for a replica that
 * does not read, and may drop the excess.
 * @public
 */
export abstract class Transport {
  /** Set by the replica: called with each message for it. */
  onMessage: (message: Message) => void = () => {};

  /** Sends without waiting; `address` is the one in the membership, or empty if not known. */
  abstract send(to: ReplicaName, message: Message, address: string): void;
}
