import type { CallerRecord } from './CallerRecord';
import type { Run } from './Run';
import type { Violation } from './Violation';

/**
 * A request whose every answer said "not run" was run by no endpoint. A request that was sent again
 * may have run for another of its answers.
 * @public
 */
export function checkNotRun(callers: readonly CallerRecord[], runs: readonly Run[]): Violation[] {
  const mayHaveRun = new Set(
    callers.filter(({ notRun }) => notRun !== true).map(({ digest }) => digest),
  );
  const refused = new Set(callers.map(({ digest }) => digest).filter((id) => !mayHaveRun.has(id)));
  return runs
    .filter(({ digest }) => refused.has(digest))
    .map(({ digest, endpoint, at }) => ({
      check: 'notRun',
      detail: `${digest} was refused as not run, but ran at ${endpoint} at ${at}`,
    }));
}
