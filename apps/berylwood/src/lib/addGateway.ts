import type { Supervisor } from '@berylwood/base';
import { Gateway } from '@berylwood/gateway';
import { PlatformClient, PlatformWire } from '@berylwood/platform';
import type { GatewaySettings } from '@berylwood/schema';
import type { ProcessContext } from './ProcessContext';
import type { Reloadable } from './Reloadable';

/** Adds the gateway role, speaking the platform's protocol, to a supervisor. @internal */
export function addGateway(
  tree: Supervisor,
  settings: GatewaySettings,
  context: ProcessContext,
): Reloadable<GatewaySettings> {
  const { platform: address, instance: holder } = settings;
  const platform = address === undefined ? undefined : new PlatformClient({ address, holder });
  const task = new Gateway({ ...context, settings, wire: new PlatformWire(), platform });
  tree.add(() => task);
  return task;
}
