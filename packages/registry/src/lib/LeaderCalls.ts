import { fail, type Failure } from '@berylwood/base';
import type { Result } from 'neverthrow';
import { registryCodes } from './codes';
import { CALL_TIMEOUT_MS } from './ConfigurationFetcher';
import type { EvacuateOutcome, EvacuationOrder } from './EvacuationState';
import type { DialerMessage } from './MeshMessage';
import type { Peer } from './Peers';
import type { Registry } from './Registry';
import type { ConfigureOutcome, StoredConfiguration } from './RegistryMachine';

interface LeaderCallsOptions {
  readonly registry: Registry | undefined;
  /** The connected leader, if any. */
  readonly leader: () => Peer | undefined;
  /** The configuration in force on this instance, if any. */
  readonly applied: () => StoredConfiguration | undefined;
}

/** Reply of a leader to a read; without the document if the asking instance had said that it holds it. */
type ReadReply = Pick<StoredConfiguration, 'version'> & Partial<StoredConfiguration>;

/** Calls to the leader of the registry, which may be the replica of this instance. @internal */
export class LeaderCalls {
  readonly #options: LeaderCallsOptions;

  constructor(options: LeaderCallsOptions) {
    this.#options = options;
  }

  async configure(version: number, body: Uint8Array): Promise<Result<ConfigureOutcome, Failure>> {
    const { registry } = this.#options;
    if (registry?.isLeader) return registry.configure(version, body);
    return this.#call({ type: 'configure', version, body });
  }

  async readNewest(): Promise<Result<StoredConfiguration | undefined, Failure>> {
    const { registry, applied } = this.#options;
    if (registry?.isLeader) return registry.readNewest();
    const held = applied();
    const reply = await this.#call<ReadReply | null>({ type: 'readNewest', held: held?.version });
    return reply.map((newest) => {
      if (!newest) return undefined;
      const { version, body = version === held?.version ? held.body : undefined } = newest;
      return body && { version, body };
    });
  }

  async evacuate(order: EvacuationOrder): Promise<Result<EvacuateOutcome, Failure>> {
    const { registry, leader } = this.#options;
    if (registry?.isLeader) return registry.evacuate(order);
    const status = leader()?.status;
    // Earlier versions of the software drop a link on which they receive an unknown message.
    if (status && !status.evacuations)
      return fail(registryCodes.leaderOutdated, 'the leader runs an earlier version');
    return this.#call({ type: 'evacuate', ...order });
  }

  async #call<T>(message: DialerMessage): Promise<Result<T, Failure>> {
    const link = this.#options.leader()?.dialer.link;
    if (!link) return fail(registryCodes.leaderUnknown, 'no leader is connected');
    return link.call<T>(message, CALL_TIMEOUT_MS);
  }
}
