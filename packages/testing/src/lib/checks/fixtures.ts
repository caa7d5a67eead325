import type { HistoryRecord } from '../History';
import type { CallerRecord } from './CallerRecord';
import type { Run } from './Run';

/** A request of the top tier that was answered whole, with fields replaced. @internal */
export function createCaller(fields: Partial<CallerRecord> = {}): CallerRecord {
  return {
    digest: 'd1',
    workspace: 'patan-grease',
    class: 'chat',
    tier: 1,
    pool: 'crew-8b',
    key: 'key-1',
    sentAt: 1000,
    firstTokenAt: 1100,
    endedAt: 2000,
    status: 200,
    text: 'the answer',
    expected: 'the answer',
    isWhole: true,
    ...fields,
  };
}

/** A request that was refused as not run, with fields replaced. @internal */
export function createRefusal(fields: Partial<CallerRecord> = {}): CallerRecord {
  const refusal = { status: 429, error: 'overloaded', notRun: true, text: '', isWhole: false };
  return createCaller({ ...refusal, firstTokenAt: undefined, ...fields });
}

/** A run of the request of `createCaller`, with fields replaced. @internal */
export function createRun(fields: Partial<Run> = {}): Run {
  return { endpoint: 'engine-1', digest: 'd1', attempt: 'attempt-1', at: 1050, ...fields };
}

/** A history with one record for each set of fields. @internal */
export function createHistory(
  kind: string,
  ...records: Record<string, unknown>[]
): HistoryRecord[] {
  return records.map((fields, index) => ({ at: 1000 + index, kind, fields }));
}
