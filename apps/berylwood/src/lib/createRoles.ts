import { Metrics, Supervisor, type Journal, type Timer } from '@berylwood/base';
import { createIncarnationId, type IncarnationId, type Settings } from '@berylwood/schema';
import { readIdentity } from './readIdentity';

/** Services and identity shared by all roles of a process. @internal */
export interface ProcessContext {
  readonly timer: Timer;
  readonly journal: Journal;
  readonly metrics: Metrics;
  readonly incarnation: IncarnationId;
}

/** A role that can apply changed settings while it runs. @internal */
export interface Reloadable {
  reload(settings: Settings): void;
}

/** The supervisor of a process, and the roles whose settings can be reloaded. @internal */
export interface Roles {
  readonly tree: Supervisor;
  readonly reloadable: readonly Reloadable[];
}

/** Roles are imported lazily, so that a gateway starts without loading the code of other roles. */
async function addGateway(
  tree: Supervisor,
  settings: Settings,
  context: ProcessContext,
): Promise<Reloadable[]> {
  const { gateway } = settings;
  if (!gateway) return [];
  const [{ Gateway }, { PlatformClient, PlatformWire }] = await Promise.all([
    import('@berylwood/gateway'),
    import('@berylwood/platform'),
  ]);
  const { platform: address, instance: holder } = gateway;
  const platform = address === undefined ? undefined : new PlatformClient({ address, holder });
  const task = new Gateway({
    ...context,
    settings: gateway,
    wire: new PlatformWire(),
    platform,
  });
  tree.add(() => task);
  const reload = (next: Settings): void => {
    if (next.gateway) task.reload(next.gateway);
  };
  return [{ reload }];
}

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

/** Creates a supervisor with the roles in the settings, added in start order. @internal */
export async function createRoles(settings: Settings, context: ProcessContext): Promise<Roles> {
  const { timer, journal } = context;
  const { process, admin } = settings;
  // A restarted task cannot take over the connections of its predecessor, so only the failed task is
  // restarted (one-for-one).
  const tree = new Supervisor({ name: process.name, timer, journal });
  await addPoolRoles(tree, settings, context);
  const reloadable = await addGateway(tree, settings, context);
  if (admin) {
    const { AdminServer } = await import('./AdminServer');
    tree.add(() => new AdminServer(admin.listen, context));
  }
  return { tree, reloadable };
}
