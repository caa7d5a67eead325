import type { Violation } from './Violation';

/** The configuration in force on a process at a time, also across its restarts. @public */
export interface RevisionRecord {
  readonly process: string;
  readonly revision: number;
  /** Wall-clock time in milliseconds. */
  readonly at: number;
}

/** The configuration in force on a process never reverts. @public */
export function checkRevisions(records: readonly RevisionRecord[]): Violation[] {
  const newest = new Map<string, number>();
  const violations: Violation[] = [];
  for (const { process, revision, at } of [...records].sort((a, b) => a.at - b.at)) {
    const before = newest.get(process) ?? 0;
    if (revision < before) {
      const detail = `${process} went from revision ${before} back to ${revision} at ${at}`;
      violations.push({ check: 'revisions', detail });
    }
    newest.set(process, Math.max(before, revision));
  }
  return violations;
}
