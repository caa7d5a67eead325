import { fail, findCode, required, type Failure } from '@berylwood/base';
import type { ReplicatedLog } from '@berylwood/consensus';
import { decodeOutcome, encodeCommand, type Command, type CommandOutcome } from '@berylwood/ledger';
import { ok, type Result } from 'neverthrow';

/** A command that took effect, at its log index. @public */
export interface Accepted {
  readonly index: number;
  readonly outcome: Extract<CommandOutcome, { type: 'done' }>;
}

/** Proposes typed commands and turns refusals of the ledger into failures. @public */
export class Proposer {
  readonly #log: ReplicatedLog;

  constructor(log: ReplicatedLog) {
    this.#log = log;
  }

  async propose(command: Command): Promise<Result<Accepted, Failure>> {
    const applied = await this.#log.propose(encodeCommand(command));
    return applied.andThen(({ index, result }): Result<Accepted, Failure> => {
      const outcome = decodeOutcome(result);
      if (outcome.type === 'done') return ok({ index, outcome });
      return fail(required(findCode(outcome.code), 'result code'), outcome.message);
    });
  }
}
