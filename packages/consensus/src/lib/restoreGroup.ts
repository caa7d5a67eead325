import { ok, type Result } from 'neverthrow';
import { fail, type Failure } from '@berylwood/base';
import { consensusCodes } from './codes';
import type { Disk } from './Disk';
import { IDENTITY_FILE, STATE_FILE, snapshotName } from './files';
import { encodeFrame } from './frame';
import { createGroupId, createIncarnation, type Identity, type ReplicaName } from './ids';
import type { Membership } from './Membership';
import { RECORD_VERSION, encodeJson, encodeSnapshot, type HardState } from './records';

/** Initial state of a restored group. @public */
export interface GroupBackup {
  /** The replica that becomes the only voter. */
  readonly replica: ReplicaName;
  /** Address of that replica for the transports of its peers. */
  readonly address: string;
  /** Replicas with empty disks that may join as voters. */
  readonly seeds: readonly ReplicaName[];
  /** State of the state machine, as returned by its `snapshot`. */
  readonly state: Uint8Array;
}

const FIRST_INDEX = 1;
const FIRST_TERM = 1;

/**
 * Writes the files of a new group with a single voter and a given state; open the disk as a
 * replica afterwards. The replicas of the old group must be gone for good, because the new group
 * has no record of them. Fails with `logDamaged` if the disk is not empty; rejects with the error
 * of the disk.
 * @public
 */
export async function restoreGroup(
  disk: Disk,
  { replica, address, seeds, state }: GroupBackup,
): Promise<Result<Identity, Failure>> {
  const names = await disk.list();
  if (names.length > 0) {
    return fail(consensusCodes.logDamaged, `the disk is not empty: it holds ${names[0]}`);
  }
  const identity: Identity = { replica, incarnation: createIncarnation() };
  const membership: Membership = {
    members: [{ ...identity, kind: 'voter', address }],
    admitted: seeds.map((seed) => ({ replica: seed, voter: true })),
  };
  const snapshot = { index: FIRST_INDEX, term: FIRST_TERM, membership, firstSegment: 0, state };
  const group = createGroupId();
  const hardState: HardState = { term: FIRST_TERM, vote: '', group, wasMember: true };
  const write = (name: string, body: Buffer): Promise<void> =>
    disk.replace(name, encodeFrame(RECORD_VERSION, body));
  // Written last: without an identity, the files of an interrupted restoration are rejected.
  await write(snapshotName(FIRST_INDEX), encodeSnapshot(snapshot));
  await write(STATE_FILE, encodeJson(hardState));
  await write(IDENTITY_FILE, encodeJson(identity));
  return ok(identity);
}
