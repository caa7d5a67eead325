import type { CacheEvent, Configuration, EndpointId, RequestId } from '@berylwood/schema';
import type { Candidate, Decision, JobResult, Job, LoadReport, PoolFloor } from './Job';

/**
 * Decides for an entry when and where each request is dispatched, and which requests are rejected.
 * It performs no I/O and reads no clock: the entry passes in events with their times and then calls
 * `decide`.
 * @public
 */
export abstract class Scheduler {
  /** Applies a new configuration. */
  abstract configure(configuration: Configuration): void;

  /** Replaces the set of endpoints. */
  abstract setCandidates(candidates: readonly Candidate[], now: number): void;

  /** Processes a load report. */
  abstract loadReported(report: LoadReport): void;

  /** Processes hints about the prefix cache of an endpoint. */
  abstract cacheChanged(endpoint: EndpointId, events: readonly CacheEvent[], now: number): void;

  /** Queues a request that has arrived or that waits again for a retry. */
  abstract offer(job: Job, now: number): void;

  /** Removes a waiting request whose caller is gone. */
  abstract withdraw(request: RequestId, now: number): void;

  /** Records that a running request has received response tokens; `answerTokens` is their total. */
  abstract progressed(request: RequestId, answerTokens: number, now: number): void;

  /** Records that a dispatched request has left its endpoint. */
  abstract ended(result: JobResult, now: number): void;

  /** Returns the decisions due now. Each waiting request appears at most once. */
  abstract decide(now: number): Decision[];

  /** Time at which `decide` is next due without a new event; undefined if only events matter. */
  abstract nextAt(now: number): number | undefined;

  /** Number of waiting requests by tier, for metrics. */
  abstract waitingByTier(): ReadonlyMap<number, number>;

  /** Floors to send to the other entries after each call of `decide`; none by default. */
  floors(_now: number): PoolFloor[] {
    return [];
  }

  /** Processes a floor from another entry; ignored by default. */
  floorReceived(_floor: PoolFloor, _now: number): void {
    // Only schedulers that shed by tier use floors.
  }
}
