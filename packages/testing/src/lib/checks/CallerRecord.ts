/** What a caller sent and got. Times are wall-clock milliseconds. @public */
export interface CallerRecord {
  /** Digest of the prompt or the body; it joins this record with the endpoints' histories. */
  readonly digest: string;
  readonly workspace: string;
  readonly class: string;
  /** Tier 1 is the highest. */
  readonly tier: number;
  /** Model or service that the request asked for. */
  readonly pool: string;
  /** Id of the key that it was sent with. */
  readonly key: string;
  readonly sentAt: number;
  /** Absent when no part of an answer came. */
  readonly firstTokenAt?: number;
  readonly endedAt: number;
  /** HTTP status; 0 when the connection failed. */
  readonly status: number;
  /** Code name of the error, if one was stated. */
  readonly error?: string;
  readonly notRun?: boolean | 'unknown';
  readonly text: string;
  /** The whole answer that belongs to the request. */
  readonly expected: string;
  /** Whether the answer ended as its wire form says. */
  readonly isWhole: boolean;
}
