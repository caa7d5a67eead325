import type { HistoryRecord } from '../History';
import type { Violation } from './Violation';

/** No usage window was reported to the platform with different bytes. @public */
export function checkWindows(history: readonly HistoryRecord[]): Violation[] {
  const digests = new Map<string, Set<string>>();
  for (const { kind, fields } of history) {
    if (kind !== 'usage') continue;
    const window = String(fields.window);
    digests.set(window, (digests.get(window) ?? new Set()).add(String(fields.digest)));
  }
  return [...digests]
    .filter(([, seen]) => seen.size > 1)
    .map(([window, seen]) => ({
      check: 'windows',
      detail: `window ${window} was reported with ${seen.size} different figures`,
    }));
}
