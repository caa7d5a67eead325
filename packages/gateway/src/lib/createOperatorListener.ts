import { splitAddress } from '@berylwood/link';
import type { OperatorListener } from '@berylwood/registry';
import type { GatewaySettings } from '@berylwood/schema';

/** Address of a listener on all interfaces. */
const ANY_HOST = '0.0.0.0';

/**
 * The listener for operators that an instance states to others; undefined without one, or if the rate of its link
 * is not known.
 * @internal
 */
export function createOperatorListener({
  operators,
  ip,
  linkMbps,
}: Pick<GatewaySettings, 'operators' | 'ip' | 'linkMbps'>): OperatorListener | undefined {
  if (operators === undefined || linkMbps === undefined) return undefined;
  const { host, port } = splitAddress(operators);
  return { address: `${host === ANY_HOST ? ip : host}:${port}`, linkMbps };
}
