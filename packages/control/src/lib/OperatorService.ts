import { createHash } from 'node:crypto';
import { fail, type Failure, type Journal, type Timer } from '@berylwood/base';
import {
  createReplicaName,
  type LogStatus,
  type Membership,
  type Replica,
} from '@berylwood/consensus';
import {
  splitBackup,
  type ClosedWindow,
  type Command,
  type DoneOutcome,
  type Ledger,
  type Order,
  type Revision,
  type UsageLine,
} from '@berylwood/ledger';
import {
  type ChangeId,
  type Configuration,
  type KeyId,
  type KeyRecord,
  type Member,
  type OrderAction,
  type OrderId,
  type WorkspaceId,
} from '@berylwood/schema';
import { err, ok, type Result } from 'neverthrow';
import { controlCodes } from './codes';
import { controlEvents } from './events';
import type { InForceReport, InForceMonitor } from './InForceMonitor';
import type { Leadership } from './Leadership';
import type { MemberTable } from './MemberTable';
import { requireDone, type Proposer } from './Proposer';
import type { Publisher } from './Publisher';

/** Options of the operators' service. @public */
export interface OperatorServiceOptions {
  readonly timer: Timer;
  readonly journal: Journal;
  readonly log: Replica;
  readonly ledger: Ledger;
  readonly leadership: Leadership;
  readonly proposer: Proposer;
  readonly publisher: Publisher;
  readonly members: MemberTable;
  readonly monitor: InForceMonitor;
}

/** Status of a control replica, as `berylwood status` shows it. @public */
export interface StatusReport extends LogStatus {
  readonly revision: number;
  readonly fence: number;
  readonly holdsLease: boolean;
  /** Syncs of the replica's log since its start. */
  readonly syncs: number;
  readonly nodes: { process: string; dataCentre: string; applied: number }[];
  readonly members: Member[];
}

/** State that a change is based on. @public */
export interface Position {
  /** Index that the operator has read before the change; part of the id of the change. */
  readonly index: number;
  readonly revision: number;
}

/** SHA-256 of a key's secret in hex, the only form in which it leaves the operator. @public */
export function hashSecret(secret: string): string {
  return createHash('sha256').update(secret).digest('hex');
}

type ChangeResult = Promise<Result<DoneOutcome, Failure>>;

/** Queries and changes that a control replica offers to operators. @public */
export class OperatorService {
  readonly #options: OperatorServiceOptions;

  constructor(options: OperatorServiceOptions) {
    this.#options = options;
  }

  /** Current position; read it before making a change. */
  position(): Promise<Result<Position, Failure>> {
    const { ledger } = this.#options;
    return this.#read(() => ({ index: ledger.index, revision: ledger.feed.revision }));
  }

  applyConfiguration(
    change: ChangeId,
    operator: string,
    expected: number,
    configuration: Configuration,
  ): ChangeResult {
    const at = this.#options.timer.wall();
    return this.#change({ type: 'configure', change, at, operator, expected, configuration });
  }

  /** Creates a key from the hash of its secret; a resend is answered with the first record again. */
  giveKey(change: ChangeId, record: KeyRecord): ChangeResult {
    return this.#change({ type: 'giveKey', change, at: this.#options.timer.wall(), record });
  }

  withdrawKey(change: ChangeId, key: KeyId): ChangeResult {
    return this.#change({ type: 'withdrawKey', change, at: this.#options.timer.wall(), key });
  }

  /** Records an order, which the leader then sends. */
  intendOrder(change: ChangeId, order: OrderId, action: OrderAction): ChangeResult {
    const at = this.#options.timer.wall();
    return this.#change({
      type: 'intendOrder',
      change,
      at,
      order,
      action: this.#pinIncarnation(action),
    });
  }

  /** Waits until no node can use a state older than the index, for at most `timeoutMs`. */
  waitInForce(index: number, timeoutMs: number): Promise<Result<InForceReport, Failure>> {
    return this.#options.monitor.wait(index, timeoutMs);
  }

  /** Current configuration with its revision. */
  configuration(): Promise<Result<Position & { configuration: Configuration }, Failure>> {
    const { ledger } = this.#options;
    return this.#read(() => {
      const { revision, configuration } = ledger.feed;
      return { index: ledger.index, revision, configuration };
    });
  }

  /** All revisions and the operators who made them, newest last. */
  history(): Promise<Result<readonly Revision[], Failure>> {
    return this.#read(() => this.#options.ledger.history.revisions);
  }

  /** Keys in force, without their hashes. */
  keys(): Promise<Result<{ key: KeyId; workspace: WorkspaceId }[], Failure>> {
    const { feed } = this.#options.ledger;
    return this.#read(() => feed.keys.map(({ key, workspace }) => ({ key, workspace })));
  }

  /** Usage of the open windows. */
  usage(): Promise<Result<UsageLine[], Failure>> {
    return this.#read(() => this.#options.ledger.windows.openLines);
  }

  /** Frozen and reported windows. */
  windows(): Promise<Result<readonly ClosedWindow[], Failure>> {
    return this.#read(() => this.#options.ledger.windows.closed);
  }

  orders(): Promise<Result<Order[], Failure>> {
    return this.#read(() => this.#options.ledger.orders.all);
  }

  replicas(): Promise<Result<Membership, Failure>> {
    return this.#read(() => this.#options.log.status.settledMembership);
  }

  async addReplica(replica: string): Promise<Result<Membership, Failure>> {
    const added = await this.#options.log.addReplica(createReplicaName(replica));
    return added.map(() => this.#options.log.status.membership);
  }

  async removeReplica(replica: string): Promise<Result<Membership, Failure>> {
    const removed = await this.#options.log.removeReplica(createReplicaName(replica));
    return removed.map(() => this.#options.log.status.membership);
  }

  /** Complete replicated state, for a backup. */
  backup(): Promise<Result<Uint8Array, Failure>> {
    return this.#read(() => this.#options.ledger.snapshot());
  }

  /** Restores a backup into this new group and advances its indexes, revisions and fencing numbers. */
  async restore(backup: Uint8Array): ChangeResult {
    const { timer, leadership } = this.#options;
    let last: Result<DoneOutcome, Failure> = fail(controlCodes.notLeader, 'no part was restored');
    for (const part of splitBackup(backup, timer.wall())) {
      last = await this.#change(part);
      if (last.isErr()) return last;
    }
    // The fencing number of this leadership belongs to the state before the restore.
    await leadership.renewFence();
    return last;
  }

  /** State of the replica, its nodes and its endpoints, from local state without a barrier. */
  status(): StatusReport {
    const { log, ledger, publisher, members } = this.#options;
    const { replica, role, term, leader, commitIndex, appliedIndex, syncs } = log.status;
    const { revision, fence } = ledger.feed;
    const nodes = publisher.subscribers.map(({ hello, applied }) => ({
      process: hello.process,
      dataCentre: hello.dataCentre,
      applied,
    }));
    return {
      ...{ replica, role, term, leader, commitIndex, appliedIndex, holdsLease: log.holdsLease },
      ...{ syncs, revision, fence, nodes, members: members.members },
    };
  }

  /** Adds the current incarnation to a stop order, so that a later incarnation is not stopped. */
  #pinIncarnation(action: OrderAction): OrderAction {
    if (action.type !== 'stop' || action.incarnation) return action;
    const incarnation = this.#options.members.find(action.endpoint)?.incarnation;
    return { ...action, incarnation };
  }

  /** Reads the state on the leader, after a barrier that ensures that it includes every earlier commit. */
  async #read<T>(read: () => T): Promise<Result<T, Failure>> {
    if (!this.#options.leadership.isLeading) return this.#notLeader();
    const current = await this.#options.log.barrier();
    return current.map(read);
  }

  #notLeader<T>(): Result<T, Failure> {
    return fail(controlCodes.notLeader, this.#options.log.status.leader ?? 'no leader is known');
  }

  async #change(command: Command): ChangeResult {
    const { proposer, journal, leadership } = this.#options;
    if (!leadership.isLeading) return this.#notLeader();
    const result = await proposer.propose(command);
    const { type } = command;
    const change = 'change' in command ? command.change : undefined;
    if (result.isErr()) {
      const { code, message } = result.error;
      journal.record(controlEvents.changeRefused, { type, change, code: code.name, message });
      return err(result.error);
    }
    const outcome = requireDone(result.value);
    journal.record(controlEvents.changeAccepted, { type, change, index: outcome.index });
    return ok(outcome);
  }
}
