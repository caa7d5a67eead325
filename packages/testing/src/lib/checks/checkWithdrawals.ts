import type { CallerRecord } from './CallerRecord';
import type { Violation } from './Violation';

/**
 * A withdrawn key was not accepted after a time.
 * @param withdrawnAt - wall-clock time by key id.
 * @param limitMs - time in which the withdrawal has to be in force.
 * @public
 */
export function checkWithdrawals(
  callers: readonly CallerRecord[],
  withdrawnAt: ReadonlyMap<string, number>,
  limitMs: number,
): Violation[] {
  return callers.flatMap(({ digest, key, sentAt, firstTokenAt, status }) => {
    const limit = (withdrawnAt.get(key) ?? Infinity) + limitMs;
    const isAccepted = status === 200 && (sentAt > limit || (firstTokenAt ?? 0) > limit);
    if (!isAccepted) return [];
    const detail = `${digest} was accepted with ${key} more than ${limitMs} ms after its withdrawal`;
    return [{ check: 'withdrawals', detail }];
  });
}
