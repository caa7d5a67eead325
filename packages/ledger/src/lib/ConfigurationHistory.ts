import type { ChangeId } from '@berylwood/schema';

/** Record of a configuration revision: its operator, time and change id. @public */
export interface Revision {
  readonly revision: number;
  readonly operator: string;
  /** Ledger clock when the revision took effect, in wall-clock milliseconds. */
  readonly at: number;
  readonly change: ChangeId;
  /** Feed index at which the revision was accepted. */
  readonly index: number;
}

const CAPACITY = 2000;

/** The most recent configuration revisions, newest last. @internal */
export class ConfigurationHistory {
  #revisions: Revision[] = [];

  get revisions(): readonly Revision[] {
    return this.#revisions;
  }

  get latest(): Revision | undefined {
    return this.#revisions.at(-1);
  }

  add(revision: Revision): void {
    this.#revisions.push(revision);
    if (this.#revisions.length > 2 * CAPACITY) this.#revisions = this.#revisions.slice(-CAPACITY);
  }

  restore(revisions: readonly Revision[]): void {
    this.#revisions = [...revisions];
  }
}
