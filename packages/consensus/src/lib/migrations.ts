import { err, ok, type Result } from 'neverthrow';
import { Failure } from '@berylwood/base';
import { consensusCodes } from './codes';
import type { Frame } from './frame';
import { RECORD_VERSION } from './records';

/** Kinds of records in the files of a replica. @internal */
export type RecordKind = 'entries' | 'snapshot' | 'state' | 'identity';

/** Converts the body of a record from version `from` to the next one. @internal */
export interface Migration {
  readonly name: string;
  readonly kind: RecordKind;
  readonly from: number;
  readonly apply: (body: Buffer) => Buffer;
}

/** In any order. A kind without a migration from a version is unchanged in the next one. */
const MIGRATIONS: readonly Migration[] = [];

/**
 * Converts a record to the target version. Fails with `versionUnknown` if the record is newer.
 * @internal
 */
export function migrate(
  kind: RecordKind,
  frame: Pick<Frame, 'version' | 'body'>,
  migrations = MIGRATIONS,
  target = RECORD_VERSION,
): Result<Buffer, Failure> {
  if (frame.version > target) {
    const message = `${kind} record has version ${frame.version}, newer than supported ${target}`;
    return err(new Failure(consensusCodes.versionUnknown, message));
  }
  let { body } = frame;
  for (let { version } = frame; version < target; version += 1) {
    const from = version;
    const step = migrations.find((item) => item.kind === kind && item.from === from);
    if (step) body = step.apply(body);
  }
  return ok(body);
}
