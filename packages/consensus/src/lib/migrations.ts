import { err, ok, type Result } from 'neverthrow';
import { Failure } from '@berylwood/base';
import { consensusCodes } from './codes';
import type { Frame } from './frame';
import { RECORD_VERSION } from './records';

/** Kinds of record that are kept in files. @internal */
export type RecordKind = 'entries' | 'snapshot' | 'state' | 'identity';

/** A named step that turns the body of a record of one version into that of the next. @internal */
export interface Migration {
  readonly name: string;
  readonly kind: RecordKind;
  readonly from: number;
  readonly apply: (body: Buffer) => Buffer;
}

/** Steps from older versions, in any order. A kind without a step is the same in both versions. */
const MIGRATIONS: readonly Migration[] = [];

/** The body of a record in the present version. @internal */
export function migrate(
  kind: RecordKind,
  frame: Pick<Frame, 'version' | 'body'>,
  migrations = MIGRATIONS,
  target = RECORD_VERSION,
): Result<Buffer, Failure> {
  if (frame.version > target) {
    const message = `record of kind ${kind} has version ${frame.version}, known is ${target}`;
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
