import { accessSync, constants, statSync } from 'node:fs';
import { Random, fail, type Failure, type Journal, type Timer } from '@berylwood/base';
import {
  FileDisk,
  Replica,
  createReplicaName,
  type StateMachine,
  type Transport,
} from '@berylwood/consensus';
import type { ControlSettings } from '@berylwood/schema';
import { ok, type Result } from 'neverthrow';
import { controlCodes } from './codes';

/** Options for opening a replica. @internal */
export interface OpenReplicaOptions {
  readonly settings: ControlSettings;
  readonly timer: Timer;
  readonly journal: Journal;
  readonly machine: StateMachine;
  readonly transport: Transport;
}

/** Maximum size of a command; must fit a part of a backup and the largest configuration. */
const MAX_COMMAND_BYTES = 4 * 1024 * 1024;

/** Checks that the data directory exists and is writable. Never creates it. @internal */
export function checkDataDirectory(directory: string): Result<void, Failure> {
  try {
    if (!statSync(directory).isDirectory()) {
      return fail(controlCodes.dataFolderUnusable, `data folder ${directory} is not a folder`);
    }
    // eslint-disable-next-line no-bitwise -- access modes are bit flags
    accessSync(directory, constants.R_OK | constants.W_OK | constants.X_OK);
    return ok(undefined);
  } catch (error) {
    const { code } = error as NodeJS.ErrnoException;
    const reason = code === 'ENOENT' ? 'does not exist' : `can not be written (${code})`;
    return fail(controlCodes.dataFolderUnusable, `data folder ${directory} ${reason}`);
  }
}

/**
 * Opens the replica described by the settings. The replica whose name sorts first bootstraps a new
 * group, once all other replicas have replied that they belong to no group.
 * @throws Failure when the data directory or its files can not be used.
 * @internal
 */
export async function openReplica(options: OpenReplicaOptions): Promise<Replica> {
  const { settings, timer, journal, machine, transport } = options;
  const checked = checkDataDirectory(settings.data);
  if (checked.isErr()) throw checked.error;
  const voterNames = settings.voters.map(({ replica }) => replica);
  const isFirst = voterNames.every((other) => settings.replica < other);
  const opened = await Replica.open({
    replica: createReplicaName(settings.replica),
    machine,
    transport,
    disk: await FileDisk.open(settings.data),
    timer,
    journal,
    random: new Random(Math.floor(Math.random() * 2 ** 31)),
    address: settings.announce ?? settings.listen,
    seeds: voterNames.map(createReplicaName),
    founder: isFirst && !settings.join,
    maxCommandBytes: MAX_COMMAND_BYTES,
  });
  if (opened.isErr()) throw opened.error;
  return opened.value;
}
