import { ok, type Result } from 'neverthrow';
import type { Failure, Timer } from '@berylwood/base';
import { ReplicatedLog, type Applied, type LogStatus } from './ReplicatedLog';
import type { StateMachine } from './StateMachine';

/** Reported lease duration; no other replica can lead. */
const LEASE_MS = 1000;

/** In-memory log with a single replica, for examples and for tests of embedders. @public */
export class LocalLog extends ReplicatedLog {
  readonly #machine: StateMachine;

  readonly #timer: Timer;

  readonly #replica: string;

  #index = 0;

  constructor(replica: string, machine: StateMachine, timer: Timer) {
    super();
    this.#replica = replica;
    this.#machine = machine;
    this.#timer = timer;
  }

  override get status(): LogStatus {
    return {
      replica: this.#replica,
      role: 'leader',
      term: 1,
      leader: this.#replica,
      commitIndex: this.#index,
      appliedIndex: this.#index,
    };
  }

  override async propose(command: Uint8Array): Promise<Result<Applied, Failure>> {
    this.#index += 1;
    const index = this.#index;
    const result = this.#machine.apply(index, command);
    this.onApplied(index, command, result);
    return ok({ index, result });
  }

  override async barrier(): Promise<Result<number, Failure>> {
    return ok(this.#index);
  }

  override get holdsLease(): boolean {
    return true;
  }

  override get leaseEndsAt(): number {
    return this.#timer.now() + LEASE_MS;
  }

  override async transferLeadership(): Promise<void> {
    // There is no other replica.
  }

  override async close(): Promise<void> {
    // No resources are held.
  }
}
