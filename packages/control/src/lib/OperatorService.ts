import { createHash, randomBytes } from 'node:crypto';
import { fail, type Failure, type Journal, type Timer } from '@berylwood/base';
import type { LogStatus, ReplicatedLog } from '@berylwood/consensus';
import type { Command, Ledger, UsageLine } from '@berylwood/ledger';
import {
  asWorkspaceId,
  createKeyId,
  type ChangeId,
  type Configuration,
  type KeyId,
  type KeyRecord,
  type Member,
  type WorkspaceId,
} from '@berylwood/schema';
import type { Result } from 'neverthrow';
import { controlCodes } from './codes';
import { controlEvents } from './events';
import type { Accepted, Proposer } from './Proposer';
import type { Publisher } from './Publisher';

/** Options of the operators' service. @public */
export interface OperatorServiceOptions {
  readonly timer: Timer;
  readonly journal: Journal;
  readonly log: ReplicatedLog;
  readonly ledger: Ledger;
  readonly proposer: Proposer;
  readonly publisher: Publisher;
}

/** A change that is committed, and whether it is in force everywhere. @public */
export interface ChangeReport {
  readonly index: number;
  readonly revision: number;
  readonly inForce: boolean;
  /** Processes that may still work with the former state. */
  readonly pending: string[];
}

/** What `berylwood status` shows of a control replica. @public */
export interface StatusReport extends LogStatus {
  readonly revision: number;
  readonly fence: number;
  readonly nodes: { process: string; dataCentre: string; applied: number }[];
  readonly members: Member[];
}

const SECRET_BYTES = 24;
const POLL_MS = 20;

/** SHA-256 of a key's secret in hex, the only form in which it is stored. @public */
export function hashSecret(secret: string): string {
  return createHash('sha256').update(secret).digest('hex');
}

/** What operators may ask of a control replica. @public */
export class OperatorService {
  readonly #options: OperatorServiceOptions;

  constructor(options: OperatorServiceOptions) {
    this.#options = options;
  }

  applyConfiguration(
    change: ChangeId,
    operator: string,
    expected: number,
    configuration: Configuration,
  ): Promise<Result<Accepted, Failure>> {
    const at = this.#options.timer.wall();
    return this.#propose({ type: 'configure', change, at, operator, expected, configuration });
  }

  /** Creates a key; the secret is in the answer only, and can not be shown again. */
  async giveKey(
    change: ChangeId,
    workspace: string,
    secret = `bw-${randomBytes(SECRET_BYTES).toString('hex')}`,
  ): Promise<Result<{ key: KeyId; secret: string; index: number }, Failure>> {
    const key = createKeyId();
    const record: KeyRecord = {
      key,
      hash: hashSecret(secret),
      workspace: asWorkspaceId(workspace),
    };
    const at = this.#options.timer.wall();
    const accepted = await this.#propose({ type: 'giveKey', change, at, record });
    return accepted.map(({ index }) => ({ key, secret, index }));
  }

  withdrawKey(change: ChangeId, key: KeyId): Promise<Result<Accepted, Failure>> {
    const at = this.#options.timer.wall();
    return this.#propose({ type: 'withdrawKey', change, at, key });
  }

  /** Waits until no node can work with a state older than the index. */
  async waitInForce(index: number, timeoutMs: number): Promise<ChangeReport> {
    const { timer, publisher, ledger, journal } = this.#options;
    const deadline = timer.now() + timeoutMs;
    let pending = publisher.pendingNodes(index);
    while (pending.length > 0 && timer.now() < deadline) {
      await timer.sleep(POLL_MS);
      pending = publisher.pendingNodes(index);
    }
    const inForce = pending.length === 0;
    if (inForce) journal.record(controlEvents.changeInForce, { index });
    return { index, revision: ledger.feed.revision, inForce, pending };
  }

  /** The present configuration with its revision. */
  configuration(): { revision: number; configuration: Configuration } {
    const { revision, configuration } = this.#options.ledger.feed;
    return { revision, configuration };
  }

  /** Keys in force, without their hashes. */
  keys(): { key: KeyId; workspace: WorkspaceId }[] {
    return this.#options.ledger.feed.keys.map(({ key, workspace }) => ({ key, workspace }));
  }

  /** Usage of the open window. */
  usage(): UsageLine[] {
    return this.#options.ledger.usage.lines;
  }

  /** State of the replica, its nodes and its endpoints. */
  status(): StatusReport {
    const { log, ledger, publisher } = this.#options;
    const { revision, fence } = ledger.feed;
    const nodes = publisher.subscribers.map(({ hello, applied }) => ({
      process: hello.process,
      dataCentre: hello.dataCentre,
      applied,
    }));
    return { ...log.status, revision, fence, nodes, members: publisher.members };
  }

  async #propose(command: Command): Promise<Result<Accepted, Failure>> {
    const { log, proposer, journal } = this.#options;
    if (log.status.role !== 'leader') {
      return fail(controlCodes.notLeader, log.status.leader ?? 'no leader is known');
    }
    const result = await proposer.propose(command);
    const { type } = command;
    const change = 'change' in command ? command.change : undefined;
    result.match(
      ({ index }) => journal.record(controlEvents.changeAccepted, { type, change, index }),
      ({ code, message }) =>
        journal.record(controlEvents.changeRefused, { type, change, code: code.name, message }),
    );
    return result;
  }
}
