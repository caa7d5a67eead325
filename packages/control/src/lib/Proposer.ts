import { fail, findCode, required, type Failure } from '@berylwood/base';
import type { ReplicatedLog } from '@berylwood/consensus';
import {
  decodeOutcome,
  encodeCommand,
  type Command,
  type CommandOutcome,
  type DoneOutcome,
} from '@berylwood/ledger';
import { ok, type Result } from 'neverthrow';

/** Outcome of a command that the ledger did not reject. @public */
export type AcceptedOutcome = Exclude<CommandOutcome, { type: 'refused' }>;

/** Proposes typed commands and converts rejections by the ledger to failures. @public */
export class Proposer {
  readonly #log: ReplicatedLog;

  constructor(log: ReplicatedLog) {
    this.#log = log;
  }

  async propose(command: Command): Promise<Result<AcceptedOutcome, Failure>> {
    const applied = await this.#log.propose(encodeCommand(command));
    return applied.andThen(({ result }): Result<AcceptedOutcome, Failure> => {
      const outcome = decodeOutcome(result);
      if (outcome.type !== 'refused') return ok(outcome);
      return fail(required(findCode(outcome.code), 'result code'), outcome.message);
    });
  }
}

/** Narrows the outcome of a command that changes the state. @internal */
export function requireDone(outcome: AcceptedOutcome): DoneOutcome {
  if (outcome.type !== 'done') throw new Error(`unexpected outcome ${outcome.type}`);
  return outcome;
}
