import { Failure, baseCodes } from '@berylwood/base';
import type { Core } from './Core';
import { EntryKind, entryBytes, type Entry } from './Entry';
import { consensusEvents } from './events';
import type { Snapshot } from './records';

/** Maximum number of entries applied before yielding to the event loop. */
const MAX_ENTRIES_PER_TURN = 512;

const NO_RESULT = new Uint8Array();

interface Waiter {
  readonly index: number;
  readonly resolve: (isApplied: boolean) => void;
}

/** Applies committed entries in order, and takes snapshots as the log grows. @internal */
export class Applier implements Disposable {
  /** Called after each applied entry, with the result of a command. */
  onEntry: (entry: Entry, result: Uint8Array) => void = () => {};

  readonly #core: Core;

  #appliedIndex: number;

  #appliedBytes = 0;

  #isSaving = false;

  #continuation: Disposable | undefined;

  #waiters: Waiter[] = [];

  constructor(core: Core) {
    this.#core = core;
    this.#appliedIndex = core.store.snapshotIndex;
  }

  get appliedIndex(): number {
    return this.#appliedIndex;
  }

  /** Applies committed entries; a long backlog is spread over several turns of the event loop. */
  apply(): void {
    if (this.#continuation) return;
    const { commitIndex, store, settings, role } = this.#core;
    if (role === 'stopped') return;
    const end = Math.min(commitIndex, this.#appliedIndex + MAX_ENTRIES_PER_TURN);
    while (this.#appliedIndex < end) {
      const entry = store.entry(this.#appliedIndex + 1);
      if (!entry || !this.#applyEntry(entry)) return;
    }
    this.#core.membership.compact(this.#appliedIndex);
    this.#resolveWaiters();
    this.saveSnapshot();
    if (this.#appliedIndex >= this.#core.commitIndex) return;
    this.#continuation = settings.timer.after(0, () => {
      this.#continuation = undefined;
      this.apply();
    });
  }

  /** Resolves with true once an index is applied, or with false if the replica stops before. */
  waitFor(index: number): Promise<boolean> {
    if (this.#appliedIndex >= index) return Promise.resolve(true);
    return new Promise((resolve) => {
      this.#waiters.push({ index, resolve });
    });
  }

  /** Replaces the state with that of a snapshot. */
  restore(snapshot: Snapshot): void {
    try {
      this.#core.settings.machine.restore(snapshot.state);
    } catch (error) {
      this.#fail(error);
      return;
    }
    this.#appliedIndex = snapshot.index;
    this.#appliedBytes = 0;
    this.#resolveWaiters();
  }

  /** Takes a snapshot if enough entries were applied since the latest one and all are synced. */
  saveSnapshot(): void {
    const { store, settings, membership, installing } = this.#core;
    const isDue =
      this.#appliedIndex - store.snapshotIndex >= settings.snapshotEntries ||
      this.#appliedBytes >= settings.snapshotBytes;
    if (!isDue || this.#isSaving || installing || this.#appliedIndex > store.syncedIndex) return;
    const index = this.#appliedIndex;
    const term = store.term(index);
    if (term === undefined) return;
    this.#isSaving = true;
    this.#appliedBytes = 0;
    const state = settings.machine.snapshot();
    store
      .compact({ index, term, membership: membership.at(index), state })
      .then(() => {
        this.#isSaving = false;
        settings.journal.record(consensusEvents.snapshotWritten, { index });
      })
      .catch(() => {
        // The store reports the failure through `onFailure`, which stops the replica.
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
      this.#appliedIndex = entry.index;
      this.#appliedBytes += entryBytes(entry);
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

  #resolveWaiters(): void {
    if (this.#waiters.length === 0) return;
    const due = this.#waiters.filter(({ index }) => index <= this.#appliedIndex);
    this.#waiters = this.#waiters.filter(({ index }) => index > this.#appliedIndex);
    due.forEach(({ resolve }) => resolve(true));
  }
}
