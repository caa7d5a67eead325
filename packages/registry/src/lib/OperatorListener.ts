import { parseAddress } from '@berylwood/link';
import { z } from 'zod';

/** Listener for operators of an instance, as it states it to others. @public */
export interface OperatorListener {
  /** `IP:PORT`. */
  readonly address: string;
  /** Bandwidth of the machine's network link, in Mbit/s. */
  readonly linkMbps: number;
}

/** @internal */
export const operatorListenerSchema = z.object({
  address: z.string().refine((address) => parseAddress(address) !== undefined),
  linkMbps: z.number().positive(),
});
