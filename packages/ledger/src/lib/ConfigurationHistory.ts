import type { ChangeId } from '@berylwood/schema';

/** Who put a revision in force, and when. @public */
export interface Revision {
  readonly revision: number;
  readonly operator: string;
  /** Wall-clock time of the leader, in milliseconds. */
  readonly at: number;
  readonly change: ChangeId;
  /** Feed index at which it was accepted. */
  readonly index: number;
}

const CAPACITY = 2000;

/** The latest revisions of the configuration, newest last. @internal */
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
