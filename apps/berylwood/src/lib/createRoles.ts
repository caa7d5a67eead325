import { Metrics, Supervisor, type Journal, type Timer } from '@berylwood/base';
import { Control, Observer } from '@berylwood/control';
import { Entry } from '@berylwood/entry';
import { createIncarnationId, type IncarnationId, type Settings } from '@berylwood/schema';
import { Sidecar } from '@berylwood/sidecar';
import { AdminServer } from './AdminServer';
import { createStandIn } from './createStandIn';
import { readIdentity } from './readIdentity';

/** What all roles of a process share. @internal */
export interface Surroundings {
  readonly timer: Timer;
  readonly journal: Journal;
  readonly metrics: Metrics;
  readonly incarnation: IncarnationId;
}

/** Creates the supervisor of the roles that the settings name, in the order of their start. @internal */
export function createRoles(settings: Settings, surroundings: Surroundings): Supervisor {
  const { timer, journal } = surroundings;
  const { tls } = settings;
  const identity = tls?.peers && readIdentity(tls.peers);
  const shared = { ...surroundings, identity };
  const { process, entry, control, observer, sidecars, standIns, admin } = settings;
  // A restarted task can not take over its predecessor's connections, so nothing else restarts.
  const tree = new Supervisor({ name: process.name, timer, journal });
  for (const standIn of standIns) tree.add(() => createStandIn(standIn));
  if (control) tree.add(() => new Control({ ...shared, settings: control }));
  if (observer) tree.add(() => new Observer({ ...shared, process, settings: observer }));
  for (const sidecar of sidecars) {
    // A restarted sidecar has an empty attempt table, so it is another incarnation.
    const create = () => ({ ...shared, incarnation: createIncarnationId() });
    tree.add(() => new Sidecar({ ...create(), process, settings: sidecar }));
  }
  const certificate = tls?.callers;
  if (entry) tree.add(() => new Entry({ ...shared, process, settings: entry, certificate }));
  if (admin) tree.add(() => new AdminServer(admin.listen, surroundings));
  return tree;
}
