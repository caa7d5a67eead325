import type { Journal } from '@berylwood/base';
import type { Link } from '@berylwood/link';
import { registryEvents } from './events';
import type { Downward, Upward } from './MeshMessage';
import type { StoredConfiguration } from './RegistryMachine';

/** Callers of the operator's interface give up after a second. @internal */
export const CALL_MS = 900;

/** Fetches a newer configuration from an instance that has announced it, one at a time. @internal */
export class ConfigurationFetcher {
  readonly #journal: Journal;

  readonly #adopt: (configuration: StoredConfiguration) => void;

  #isFetching = false;

  constructor(journal: Journal, adopt: (configuration: StoredConfiguration) => void) {
    this.#journal = journal;
    this.#adopt = adopt;
  }

  async fetch(link: Link<Upward, Downward>): Promise<void> {
    if (this.#isFetching) return;
    this.#isFetching = true;
    const answer = await link.call<StoredConfiguration | null>({ type: 'fetch' }, CALL_MS);
    this.#isFetching = false;
    const { version, body } = answer.unwrapOr(null) ?? {};
    if (Number.isSafeInteger(version) && body instanceof Uint8Array) {
      this.#adopt({ version: version as number, body });
      return;
    }
    const error = answer.isErr() ? answer.error.message : 'the other end holds none';
    this.#journal.record(registryEvents.fetchFailed, { peer: link.peer, error });
  }
}
