import type { Journal } from '@berylwood/base';
import type { Link } from '@berylwood/link';
import { registryEvents } from './events';
import type { AcceptorMessage, DialerMessage } from './MeshMessage';
import type { StoredConfiguration } from './RegistryMachine';

/** Below the time-out of operators' clients, which is one second. @internal */
export const CALL_TIMEOUT_MS = 900;

/** Slowest rate at which a configuration is awaited, in bytes per millisecond: 2 Mbit/s. */
const MIN_BYTES_PER_MS = 250;

/**
 * Fetches a newer configuration from an instance that has announced it; one fetch runs at a time.
 * @internal
 */
export class ConfigurationFetcher {
  readonly #journal: Journal;

  readonly #onFetched: (configuration: StoredConfiguration) => void;

  #isFetching = false;

  constructor(journal: Journal, onFetched: (configuration: StoredConfiguration) => void) {
    this.#journal = journal;
    this.#onFetched = onFetched;
  }

  /** @param bytes - compressed size of the configuration, as far as the peer has stated it. */
  async fetch(link: Link<DialerMessage, AcceptorMessage>, bytes = 0): Promise<void> {
    if (this.#isFetching) return;
    this.#isFetching = true;
    const timeoutMs = CALL_TIMEOUT_MS + bytes / MIN_BYTES_PER_MS;
    const reply = await link.call<StoredConfiguration | null>({ type: 'fetch' }, timeoutMs);
    this.#isFetching = false;
    const { version, body } = reply.unwrapOr(null) ?? {};
    if (Number.isSafeInteger(version) && body instanceof Uint8Array) {
      this.#onFetched({ version: version as number, body });
      return;
    }
    const error = reply.isErr() ? reply.error.message : 'the peer has no configuration';
    this.#journal.record(registryEvents.fetchFailed, { peer: link.peer, error });
  }
}
