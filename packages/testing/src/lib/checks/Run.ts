import type { HistoryRecord } from '../History';

/** A request that an endpoint has begun to run. @public */
export interface Run {
  readonly endpoint: string;
  /** Digest of the prompt or the body. */
  readonly digest: string;
  /** Stream id at an engine, which is the attempt's id. */
  readonly attempt: string;
  /** Wall-clock time in milliseconds. */
  readonly at: number;
}

/** Histories of the endpoints by their names. @public */
export type EndpointHistories = ReadonlyMap<string, readonly HistoryRecord[]>;

/** All runs in the histories of the endpoints. @public */
export function listRuns(histories: EndpointHistories): Run[] {
  return [...histories].flatMap(([endpoint, records]) =>
    records
      .filter(({ kind }) => kind === 'run' || kind === 'call')
      .map(({ at, fields }) => ({
        endpoint,
        digest: String(fields.digest),
        attempt: String(fields.id ?? ''),
        at,
      })),
  );
}
