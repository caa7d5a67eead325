import type { Link } from '@berylwood/link';
import type { AcceptorMessage, DialerMessage } from './MeshMessage';

/** Link to an instance that stores origins on a disk. @internal */
export type OriginHolder = Pick<
  Link<DialerMessage, AcceptorMessage>,
  'peer' | 'call' | 'bufferedBytes'
>;

/** The other instances that store origins. @internal */
export interface OriginPeers {
  /** Links to the connected holders; a link that is opened again is another object. */
  readonly originHolders: readonly OriginHolder[];
  /** Whether no instance that may be a holder remains to be connected. */
  readonly areAllKnown: boolean;
}
