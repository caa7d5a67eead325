import { MAX_EVENT_BYTES } from '@berylwood/event-stream';

/**
 * Limits on what an endpoint may send. An endpoint in trouble may send bytes without end before a head, in
 * an event or in a body; over a limit the attempt ends as broken and its connection is closed.
 * @public
 */
export interface ResponseLimits {
  /** Bytes up to the end of the head, blank lines and interim responses included. */
  readonly maxHeadBytes: number;
  /** Bytes of one event of a stream. */
  readonly maxEventBytes: number;
  /** Bytes of a response that is not a stream of events. */
  readonly maxBodyBytes: number;
  /** Bytes that are buffered for a caller who can read the response only with its length. */
  readonly maxBufferedBytes: number;
  /** Bytes of the body of a rejection, which are discarded so that the connection can be reused. */
  readonly maxDiscardedBytes: number;
  /** Time for discarding the body of a rejection, in milliseconds. */
  readonly maxDiscardMs: number;
}

/** @public */
export const RESPONSE_LIMITS: ResponseLimits = {
  maxHeadBytes: 64 * 1024,
  maxEventBytes: MAX_EVENT_BYTES,
  maxBodyBytes: 64 * 1024 * 1024,
  maxBufferedBytes: 4 * 1024 * 1024,
  maxDiscardedBytes: 16 * 1024,
  maxDiscardMs: 250,
};
