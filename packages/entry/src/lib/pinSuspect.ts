import { createHash } from 'node:crypto';
import type { Candidate, Job } from '@berylwood/policy';
import type { EndpointId } from '@berylwood/schema';

/** Open endpoints that serve a job. @internal */
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
 * The endpoints that a suspect must avoid: all but the first by rendezvous hashing that did not
 * fail it before. Copies of one request meet at one sidecar through whichever entry they come, and
 * the sidecar runs one suspect at a time.
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
