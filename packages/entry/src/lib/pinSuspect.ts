import { createHash } from 'node:crypto';
import type { Candidate, Job } from '@berylwood/policy';
import type { EndpointId } from '@berylwood/schema';

/** Open endpoints that serve the target of a job. @internal */
export function suitableEndpoints(job: Job, candidates: readonly Candidate[]): EndpointId[] {
  return candidates
    .filter(
      ({ kind, targets, isOpen }) => isOpen && kind === job.kind && targets.includes(job.target),
    )
    .map(({ endpoint }) => endpoint);
}

function weight(fingerprint: string, endpoint: EndpointId): string {
  return createHash('sha256').update(`${fingerprint} ${endpoint}`).digest('hex');
}

/**
 * Returns the endpoints that a suspect must avoid: all but the first by rendezvous hashing among
 * those it has not failed on. All entries send copies of one request to the same sidecar, which runs
 * one suspect at a time.
 * @internal
 */
export function pinSuspect(
  job: Job,
  fingerprint: string,
  candidates: readonly Candidate[],
): EndpointId[] {
  const open = suitableEndpoints(job, candidates);
  const eligible = open.filter((endpoint) => !job.avoid.includes(endpoint));
  const ranked = [...(eligible.length > 0 ? eligible : open)].sort((a, b) =>
    weight(fingerprint, a) < weight(fingerprint, b) ? -1 : 1,
  );
  return candidates.map(({ endpoint }) => endpoint).filter((endpoint) => endpoint !== ranked[0]);
}
