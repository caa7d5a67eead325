import type { CallerRecord } from '../checks/CallerRecord';
import type { Arrival } from './createArrivals';

/** What became of one request of a load. @public */
export interface Outcome extends CallerRecord {
  readonly arrival: Arrival;
  /** Time to the first token, or to the whole answer of a plain service, in milliseconds. */
  readonly firstTokenMs: number;
  /** Mean time between tokens, in milliseconds; 0 when there is only one. */
  readonly betweenTokensMs: number;
  readonly durationMs: number;
  /** Tokens of prompt and answer that the request asks for. */
  readonly work: number;
  /** Answer tokens received. */
  readonly tokens: number;
}
