import { requestCodes, type Configuration, type RequestId } from '@berylwood/schema';
import { Assignments } from './Assignments';
import type { Candidate, Decision, JobResult, Job, LoadReport } from './Job';
import { Scheduler } from './Scheduler';

const RETRY_AFTER_MS = 1000;

/** Baseline: one queue in order of arrival, endpoints in turn, no tiers, no affinity. @public */
export class RoundRobinScheduler extends Scheduler {
  readonly #waiting = new Map<RequestId, Job>();

  readonly #assignments = new Assignments();

  #candidates: readonly Candidate[] = [];

  #next = 0;

  override configure(_configuration: Configuration): void {
    // Plans are not used.
  }

  override setCandidates(candidates: readonly Candidate[]): void {
    this.#candidates = candidates;
  }

  override loadReported(_report: LoadReport): void {
    // Routing ignores the load.
  }

  override cacheChanged(): void {
    // Routing ignores prefix affinity.
  }

  override offer(job: Job): void {
    this.#waiting.set(job.request, job);
  }

  override withdraw(request: RequestId): void {
    this.#waiting.delete(request);
  }

  override progressed(): void {
    // Progress is not used.
  }

  override ended(result: JobResult): void {
    this.#assignments.end(result.request);
  }

  override decide(now: number): Decision[] {
    const decisions: Decision[] = [];
    for (const job of this.#waiting.values()) {
      const decision = this.#decideOne(job, now);
      if (!decision) continue;
      this.#waiting.delete(job.request);
      decisions.push(decision);
    }
    return decisions;
  }

  override nextAt(): number | undefined {
    const first = this.#waiting.values().next().value;
    return first?.expiresAt;
  }

  override waitingByTier(): ReadonlyMap<number, number> {
    const result = new Map<number, number>();
    for (const { tier } of this.#waiting.values()) result.set(tier, (result.get(tier) ?? 0) + 1);
    return result;
  }

  #decideOne(job: Job, now: number): Decision | undefined {
    const { request } = job;
    if (now >= job.expiresAt) {
      const code = requestCodes.overloaded;
      return { type: 'refuse', request, code, retryAfterMs: RETRY_AFTER_MS };
    }
    const suitable = this.#candidates.filter(
      ({ kind, targets, isOpen }) => isOpen && kind === job.kind && targets.includes(job.target),
    );
    for (let i = 0; i < suitable.length; i += 1) {
      const candidate = suitable[(this.#next + i) % suitable.length] as Candidate;
      if (this.#assignments.countOf(candidate.endpoint) < candidate.slots) {
        this.#next += i + 1;
        this.#assignments.start(request, candidate.endpoint);
        return { type: 'dispatch', request, endpoint: candidate.endpoint };
      }
    }
    return undefined;
  }
}
