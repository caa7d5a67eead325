import { unreachable } from '@berylwood/base';
import {
  emptyConfiguration,
  type Configuration,
  type FeedChange,
  type FeedState,
  type KeyId,
  type KeyRecord,
  type Suspicion,
} from '@berylwood/schema';

/**
 * Copy of the part of the replicated state that nodes use. Revisions and fences never decrease.
 * @public
 */
export class StateCopy {
  #index = 0;

  #revision = 0;

  #fence = 0;

  #configuration: Configuration = emptyConfiguration;

  readonly #keys = new Map<KeyId, KeyRecord>();

  readonly #keysByHash = new Map<string, KeyRecord>();

  readonly #suspicions = new Map<string, Suspicion>();

  get index(): number {
    return this.#index;
  }

  get revision(): number {
    return this.#revision;
  }

  get fence(): number {
    return this.#fence;
  }

  get configuration(): Configuration {
    return this.#configuration;
  }

  get keys(): KeyRecord[] {
    return [...this.#keys.values()];
  }

  findKey(hash: string): KeyRecord | undefined {
    return this.#keysByHash.get(hash);
  }

  hasKey(key: KeyId): boolean {
    return this.#keys.has(key);
  }

  suspicionOf(fingerprint: string): Suspicion | undefined {
    return this.#suspicions.get(fingerprint);
  }

  /** Returns the complete state as a snapshot for another copy. */
  toState(): FeedState {
    return {
      index: this.#index,
      revision: this.#revision,
      configuration: this.#configuration,
      keys: this.keys,
      fence: this.#fence,
      suspicions: [...this.#suspicions.values()],
    };
  }

  /** Replaces the state. Ignores an older snapshot and returns false. */
  restore(state: FeedState): boolean {
    if (state.index < this.#index || state.revision < this.#revision) return false;
    this.#index = state.index;
    this.#revision = state.revision;
    this.#configuration = state.configuration;
    this.#fence = Math.max(this.#fence, state.fence);
    this.#keys.clear();
    this.#keysByHash.clear();
    for (const key of state.keys) this.#addKey(key);
    this.#suspicions.clear();
    for (const suspicion of state.suspicions)
      this.#suspicions.set(suspicion.fingerprint, suspicion);
    return true;
  }

  /** Applies the changes of one log index; an index already applied is ignored. */
  apply(index: number, changes: readonly FeedChange[]): void {
    if (index <= this.#index) return;
    for (const change of changes) this.#applyChange(change);
    this.#index = index;
  }

  #applyChange(change: FeedChange): void {
    switch (change.type) {
      case 'configured':
        if (change.revision <= this.#revision) return;
        this.#revision = change.revision;
        this.#configuration = change.configuration;
        return;
      case 'keyGiven':
        this.#addKey(change.key);
        return;
      case 'keyWithdrawn':
        this.#removeKey(change.key);
        return;
      case 'fenced':
        this.#fence = Math.max(this.#fence, change.fence);
        return;
      case 'suspected':
        if (change.suspicion.crashes === 0) this.#suspicions.delete(change.suspicion.fingerprint);
        else this.#suspicions.set(change.suspicion.fingerprint, change.suspicion);
        return;
      default:
        unreachable(change);
    }
  }

  #addKey(record: KeyRecord): void {
    this.#keys.set(record.key, record);
    this.#keysByHash.set(record.hash, record);
  }

  #removeKey(key: KeyId): void {
    const record = this.#keys.get(key);
    if (!record) return;
    this.#keys.delete(key);
    this.#keysByHash.delete(record.hash);
  }
}
