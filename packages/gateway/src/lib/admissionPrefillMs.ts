import type { Placement } from './placeRequest';

/**
 * The expected time of a prefill by which requests are admitted, in milliseconds: the one by the data sheet. The
 * thresholds of `admits` were tuned with it. An estimate that is twice as long rejects more requests, which has to
 * be measured first; `placement.expectedMs` is the learnt time.
 * @internal
 */
export function admissionPrefillMs(placement: Pick<Placement, 'prefillMs'>): number {
  return placement.prefillMs;
}
