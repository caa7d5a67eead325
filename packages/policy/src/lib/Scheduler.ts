import type { CacheEvent, Configuration, EndpointId, RequestId } from '@berylwood/schema';
import type { Candidate, Decision, JobResult, Job, LoadReport, PoolFloor } from './Job';

/**
 * Decides in an entry which request goes where and when, and which is refused. It does no I/O and
 * reads no clock: the entry tells it what happened and when, then asks for decisions.
 * @public
 */
export abstract class Scheduler {
  /** Takes in a new configuration. */
  abstract configure(configuration: Configuration): void;

  /** Takes in the present endpoints. */
  abstract setCandidates(candidates: readonly Candidate[], now: number): void;

  /** Takes in a load report. */
  abstract loadReported(report: LoadReport): void;

  /** Takes in hints on the prefix cache of an endpoint. */
  abstract cacheChanged(endpoint: EndpointId, events: readonly CacheEvent[], now: number): void;

  /** A request has arrived, or waits again for a retry. */
  abstract offer(job: Job, now: number): void;

  /** The caller of a waiting request is gone. */
  abstract withdraw(request: RequestId, now: number): void;

  /** The first token of a running request, or more of them, has arrived. */
  abstract progressed(request: RequestId, answerTokens: number, now: number): void;

  /** A dispatched request has left its endpoint. */
  abstract ended(result: JobResult, now: number): void;

  /** Decisions due now. Each waiting request appears at most once. */
  abstract decide(now: number): Decision[];

  /** Time at which to ask again without a new event; undefined when only events matter. */
  abstract nextAt(now: number): number | undefined;

  /** Requests that wait, by tier, for metrics. */
  abstract waitingByTier(): ReadonlyMap<number, number>;

  /** Floors to tell the other entries of, after each round of decisions; none by default. */
  floors(_now: number): PoolFloor[] {
    return [];
  }

  /** Takes in another entry's floor; ignored by default. */
  floorReceived(_floor: PoolFloor, _now: number): void {
    // A scheduler that does not shed by tier has no use for it.
  }
}
