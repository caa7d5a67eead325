import type { CallerRecord } from './CallerRecord';
import type { Run } from './Run';
import type { Violation } from './Violation';

/** Time for a request or a refusal to travel, in milliseconds. */
const TRAVEL_MS = 500;

/**
 * No request waited beyond the maximum of its class before it ran or was refused.
 * @param maxWaitMs - maximum by class.
 * @public
 */
export function checkWaits(
  callers: readonly CallerRecord[],
  runs: readonly Run[],
  maxWaitMs: ReadonlyMap<string, number>,
): Violation[] {
  const startedAt = new Map<string, number>();
  for (const { digest, at } of runs) {
    startedAt.set(digest, Math.min(at, startedAt.get(digest) ?? Infinity));
  }
  return callers.flatMap((caller) => {
    const { digest, sentAt, endedAt } = caller;
    const waitedMs = (startedAt.get(digest) ?? endedAt) - sentAt;
    const limitMs = maxWaitMs.get(caller.class) ?? Infinity;
    if (waitedMs <= limitMs + TRAVEL_MS) return [];
    const detail = `${digest} of ${caller.class} waited ${waitedMs} ms of at most ${limitMs}`;
    return [{ check: 'waits', detail }];
  });
}
