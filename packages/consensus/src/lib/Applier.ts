import { Failure, baseCodes } from '@berylwood/base';
import type { Core } from './Core';
import { EntryKind, entryBytes, type Entry } from './Entry';
import { consensusEvents } from './events';
import type { Snapshot } from './records';

/** Entries applied at a time before the event loop is given back. */
const MAX_SLICE = 512;

const NO_RESULT = new Uint8Array();

interface Waiter {
  readonly index: number;
  readonly resolve: (isApplied: boolean) => void;
}

/** Applies committed entries in order, and takes snapshots when the log has grown. @internal */
export class Applier implements Disposable {
  /** Called after each applied entry, with the result of a command. */
  onEntry: (entry: Entry, result: Uint8Array) => void = () => {};

  readonly #core: Core;

  #applied: number;

  #bytes = 0;

  #isSaving = false;

  #continuation: Disposable | undefined;

  #waiters: Waiter[] = [];

  constructor(core: Core) {
    this.#core = core;
    this.#applied = core.store.snapshotIndex;
  }

  get appliedIndex(): number {
    return this.#applied;
  }

  /** Applies what is committed; a long backlog is spread over several turns of the event loop. */
  apply(): void {
    if (this.#continuation) return;
    const { commitIndex, store, settings, role } = this.#core;
    if (role === 'stopped') return;
    const end = Math.min(commitIndex, this.#applied + MAX_SLICE);
    while (this.#applied < end) {
      const entry = store.entry(this.#applied + 1);
      if (!entry || !this.#applyEntry(entry)) return;
    }
    this.#core.membership.compact(this.#applied);
    this.#wake();
    this.saveSnapshot();
    if (this.#applied >= this.#core.commitIndex) return;
    this.#continuation = settings.timer.after(0, () => {
      this.#continuation = undefined;
      this.apply();
    });
  }

  /** Resolves once an index is applied; false if the replica stops before. */
  waitFor(index: number): Promise<boolean> {
    if (this.#applied >= index) return Promise.resolve(true);
    return new Promise((resolve) => {
      this.#waiters.push({ index, resolve });
    });
  }

  /** Replaces the state by that of a snapshot. */
  restore(snapshot: Snapshot): void {
    try {
      this.#core.settings.machine.restore(snapshot.state);
    } catch (error) {
      this.#fail(error);
      return;
    }
    this.#applied = snapshot.index;
    this.#bytes = 0;
    this.#wake();
  }

  /** Takes a snapshot if enough was applied since the latest and all of it is synced. */
  saveSnapshot(): void {
    const { store, settings, membership, installing } = this.#core;
    const grown =
      this.#applied - store.snapshotIndex >= settings.snapshotEntries ||
      this.#bytes >= settings.snapshotBytes;
    if (!grown || this.#isSaving || installing || this.#applied > store.syncedIndex) return;
    const index = this.#applied;
    const term = store.term(index);
    if (term === undefined) return;
    this.#isSaving = true;
    this.#bytes = 0;
    const state = settings.machine.snapshot();
    store
      .compact({ index, term, membership: membership.at(index), state })
      .then(() => {
        this.#isSaving = false;
        settings.journal.record(consensusEvents.snapshotWritten, { index });
      })
      .catch(() => {
        // The store has reported the failure, and the replica stops.
      });
  }

  [Symbol.dispose](): void {
    this.#continuation?.[Symbol.dispose]();
    const waiters = this.#waiters;
    this.#waiters = [];
    waiters.forEach(({ resolve }) => resolve(false));
  }

  #applyEntry(entry: Entry): boolean {
    try {
      const isCommand = entry.kind === EntryKind.Command;
      const { machine } = this.#core.settings;
      const result = isCommand ? machine.apply(entry.index, entry.data) : NO_RESULT;
      this.#applied = entry.index;
      this.#bytes += entryBytes(entry);
      this.onEntry(entry, result);
      return true;
    } catch (error) {
      this.#fail(error);
      return false;
    }
  }

  #fail(error: unknown): void {
    const message = `the state machine failed: ${String(error)}`;
    this.#core.onFailure(new Failure(baseCodes.internal, message, { cause: error }));
  }

  #wake(): void {
    if (this.#waiters.length === 0) return;
    const due = this.#waiters.filter(({ index }) => index <= this.#applied);
    this.#waiters = this.#waiters.filter(({ index }) => index > this.#applied);
    due.forEach(({ resolve }) => resolve(true));
  }
}
