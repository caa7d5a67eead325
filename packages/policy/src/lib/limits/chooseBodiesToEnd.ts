/** Time after which the bytes that a body has moved count half as much, in milliseconds. */
const HALF_LIFE_MS = 700;

/** Time for which a body is not judged by its speed, in milliseconds: some round trips of a slow network. */
const MIN_AGE_MS = 1000;

/** Time without any byte after which a body counts as stalled, in milliseconds. */
const MAX_IDLE_MS = 2000;

/** Speed below which a body counts as stalled, in bytes of the last second; a modem is faster. */
const STALLED_BYTES = 2048;

/** Size up to which a body is an ordinary one, for which the reserve is kept, in bytes. @public */
export const SMALL_BODY_BYTES = 64 * 1024;

/** A body whose bytes a process holds. @public */
export interface HeldBody {
  /** A request that has not arrived completely, or a response that its caller has not read completely. */
  readonly kind: 'request' | 'response';
  /** Bytes that the process holds. */
  readonly bytes: number;
  /** Bytes of the heap that it takes. */
  readonly heapBytes: number;
  /** Whether bytes that have arrived wait for this process, so that their sender is not to blame. */
  readonly isWaiting: boolean;
  /** Bytes moved, as of `movedAt`; earlier ones count less. */
  readonly recentBytes: number;
  readonly movedAt: number;
  readonly startedAt: number;
}

/** What exceeds a budget. @public */
export interface BodyExcess {
  /** Bytes to free. */
  readonly bytes: number;
  /** Bytes of the heap to free. */
  readonly heapBytes: number;
  /** Requests to end. */
  readonly requests: number;
  /** Whether small requests that make progress may end, too. */
  readonly includesSmall: boolean;
}

/** Bytes that a body has moved of late. @public */
export function recentBytesOf({ recentBytes, movedAt }: HeldBody, now: number): number {
  return recentBytes * 0.5 ** ((now - movedAt) / HALF_LIFE_MS);
}

/** Class of a body: those of a lower one end first. */
function classOf(body: HeldBody, now: number): number {
  const isYoung = now - body.startedAt < MIN_AGE_MS;
  const isIdle = now - body.movedAt >= MAX_IDLE_MS;
  // A response of which anything is read is never ended for others.
  const isSlow =
    body.kind === 'request' && !body.isWaiting && recentBytesOf(body, now) < STALLED_BYTES;
  const isStalled = !isYoung && ((isIdle && !body.isWaiting) || isSlow);
  if (isStalled) return body.kind === 'request' ? 0 : 1;
  return isYoung ? 3 : 2;
}

/**
 * Chooses the bodies that end when a budget is spent. Load pattern: many clients send bodies that stop just
 * short of their end, or read nothing, beside ordinary callers. Stalled bodies end first, requests before
 * responses, the slowest and emptiest of them first. Responses whose callers read never end. Requests
 * that make progress end only after all stalled ones.
 * @public
 */
export function chooseBodiesToEnd<T extends HeldBody>(
  bodies: Iterable<T>,
  excess: BodyExcess,
  now: number,
): T[] {
  const ranked = [...bodies]
    .map((body) => ({ body, rank: classOf(body, now), speed: recentBytesOf(body, now) }))
    .filter(
      ({ body, rank }) =>
        rank < 2 ||
        (body.kind === 'request' && (excess.includesSmall || body.bytes > SMALL_BODY_BYTES)),
    );
  ranked.sort((a, b) => {
    if (a.rank !== b.rank) return a.rank - b.rank;
    // The speed of a young body says nothing yet.
    if (a.rank === 3) return a.body.startedAt - b.body.startedAt;
    return a.speed - b.speed || a.body.bytes - b.body.bytes;
  });
  const chosen: T[] = [];
  let { bytes, heapBytes, requests } = excess;
  for (const { body } of ranked) {
    if (bytes <= 0 && heapBytes <= 0 && requests <= 0) break;
    const isUseful =
      (bytes > 0 && body.bytes > 0) ||
      (heapBytes > 0 && body.heapBytes > 0) ||
      (requests > 0 && body.kind === 'request');
    if (!isUseful) continue;
    chosen.push(body);
    bytes -= body.bytes;
    heapBytes -= body.heapBytes;
    if (body.kind === 'request') requests -= 1;
  }
  return chosen;
}
