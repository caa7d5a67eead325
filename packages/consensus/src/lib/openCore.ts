import { err, ok, type Result } from 'neverthrow';
import { Failure, fail } from '@berylwood/base';
import { consensusCodes } from './codes';
import { Core } from './Core';
import { EntryKind } from './Entry';
import { consensusEvents } from './events';
import { IDENTITY_FILE } from './files';
import { encodeFrame } from './frame';
import { createIncarnation, type Identity } from './ids';
import { LogStore } from './LogStore';
import { decodeMembership } from './Membership';
import { MembershipHistory } from './MembershipHistory';
import { RECORD_VERSION, encodeJson, type Snapshot } from './records';
import { recover, type Recovered } from './recover';
import type { ReplicaSettings } from './ReplicaOptions';
import { TimedDisk } from './TimedDisk';

interface OpenedCore {
  readonly core: Core;
  readonly snapshot: Snapshot | undefined;
}

/** Returns the identity stored on a disk; an empty disk gets a new one. */
async function loadOrCreateIdentity(
  { disk, replica, unsafe }: ReplicaSettings,
  recovered: Recovered,
): Promise<Result<Identity, Failure>> {
  const stored = recovered.identity;
  if (stored?.replica === replica) return ok(stored);
  if (stored) {
    const message = `the disk belongs to replica ${stored.replica}, not to ${replica}`;
    return fail(consensusCodes.logDamaged, message);
  }
  if (recovered.entries.length > 0 || recovered.snapshot || recovered.state.term > 0) {
    return fail(
      consensusCodes.logDamaged,
      'the identity file is missing, but the disk holds other data',
    );
  }
  const identity = { replica, incarnation: unsafe.incarnation ?? createIncarnation() };
  await disk.replace(IDENTITY_FILE, encodeFrame(RECORD_VERSION, encodeJson(identity)));
  return ok(identity);
}

function readMemberships({ snapshot, entries }: Recovered): MembershipHistory {
  const history = new MembershipHistory();
  if (snapshot) history.reset(snapshot.index, snapshot.membership);
  for (const { kind, index, data } of entries) {
    if (kind === EntryKind.Membership) history.add(index, decodeMembership(data));
  }
  return history;
}

async function open(
  settings: ReplicaSettings,
  disk: TimedDisk,
): Promise<Result<OpenedCore, Failure>> {
  const { timer, leaseMs, journal, segmentBytes, batchBytes, trailingEntries } = settings;
  const recovery = await recover(disk);
  if (recovery.isErr()) return err(recovery.error);
  const recovered = recovery.value;
  const { snapshot, truncatedBytes } = recovered;
  if (truncatedBytes > 0) journal.record(consensusEvents.tailCut, { bytes: truncatedBytes });
  const identity = await loadOrCreateIdentity(settings, recovered);
  if (identity.isErr()) return err(identity.error);
  const limits = { segmentBytes, syncBytes: batchBytes, trailingEntries };
  const core = new Core({
    settings,
    identity: identity.value,
    store: new LogStore(disk, recovered, limits),
    disk,
    membership: readMemberships(recovered),
    // A new incarnation has not granted any lease.
    preRestartLeaseUntil: recovered.identity ? timer.now() + leaseMs : 0,
  });
  return ok({ core, snapshot });
}

/**
 * Reads the disk of a replica. Fails with `logDamaged`, `versionUnknown` or `diskFailed`.
 * @internal
 */
export async function openCore(settings: ReplicaSettings): Promise<Result<OpenedCore, Failure>> {
  const { disk, timer, journal } = settings;
  try {
    const timedDisk = new TimedDisk(disk, timer, journal);
    return await open({ ...settings, disk: timedDisk }, timedDisk);
  } catch (error) {
    return fail(consensusCodes.diskFailed, `reading the disk failed: ${String(error)}`, {
      cause: error,
    });
  }
}
