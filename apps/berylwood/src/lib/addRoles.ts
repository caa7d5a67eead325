import type { Supervisor } from '@berylwood/base';
import { createIncarnationId, type Settings } from '@berylwood/schema';
import type { Reloadable } from './Reloadable';
import type { ProcessContext } from './ProcessContext';
import { readIdentity } from './readIdentity';

async function addPoolRoles(
  tree: Supervisor,
  settings: Settings,
  context: ProcessContext,
): Promise<void> {
  const { process, entry, control, observer, sidecars, standIns, tls } = settings;
  const identity = tls?.peers && readIdentity(tls.peers);
  const sharedOptions = { ...context, identity };
  if (standIns.length > 0) {
    const { createStandIn } = await import('./createStandIn');
    for (const standIn of standIns) tree.add(() => createStandIn(standIn));
  }
  if (control || observer) {
    const { Control, Observer } = await import('@berylwood/control');
    if (control) tree.add(() => new Control({ ...sharedOptions, settings: control }));
    if (observer) tree.add(() => new Observer({ ...sharedOptions, process, settings: observer }));
  }
  if (sidecars.length > 0) {
    const { Sidecar } = await import('@berylwood/sidecar');
    for (const sidecar of sidecars) {
      // A restarted sidecar starts with an empty attempt table, so it gets a new incarnation.
      const createOptions = () => ({ ...sharedOptions, incarnation: createIncarnationId() });
      tree.add(() => new Sidecar({ ...createOptions(), process, settings: sidecar }));
    }
  }
  const certificate = tls?.callers;
  if (entry) {
    const { Entry } = await import('@berylwood/entry');
    tree.add(() => new Entry({ ...sharedOptions, process, settings: entry, certificate }));
  }
}

/**
 * Adds the roles in the settings to a supervisor, in start order. They are imported when they are
 * needed, so that a process loads only the code of its own roles.
 * @internal
 */
export async function addRoles(
  tree: Supervisor,
  settings: Settings,
  context: ProcessContext,
): Promise<Reloadable<Settings>[]> {
  await addPoolRoles(tree, settings, context);
  const { gateway } = settings;
  if (!gateway) return [];
  const { addGateway } = await import('./addGateway');
  const role = addGateway(tree, gateway, context);
  const reload = (next: Settings): void => {
    if (next.gateway) role.reload(next.gateway);
  };
  return [{ reload }];
}
