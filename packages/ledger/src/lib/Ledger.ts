import { unreachable } from '@berylwood/base';
import { StateMachine } from '@berylwood/consensus';
import { StateCopy } from '@berylwood/feed';
import type { ChangeId, FeedChange, FeedState } from '@berylwood/schema';
import { Packr, Unpackr } from 'msgpackr';
import { decodeCommand, encodeOutcome, type Command, type CommandOutcome } from './Command';
import { ledgerCodes } from './codes';
import { Usage } from './Usage';

/** Outcomes of changes kept for resends. */
const KEPT_OUTCOMES = 10_000;

interface Snapshot {
  readonly feed: FeedState;
  readonly outcomes: [ChangeId, CommandOutcome][];
  readonly usage: ReturnType<Usage['toJSON']>;
}

const packr = new Packr({ useRecords: false });
const unpackr = new Unpackr({ useRecords: false });

/** The replicated state: keys, configuration, fencing number and usage. @public */
export class Ledger extends StateMachine {
  /** Changes of the last applied command, for the feed. */
  lastChanges: readonly FeedChange[] = [];

  readonly feed = new StateCopy();

  readonly usage = new Usage();

  #outcomes = new Map<ChangeId, CommandOutcome>();

  override apply(index: number, bytes: Uint8Array): Uint8Array {
    const command = decodeCommand(bytes);
    const change = 'change' in command ? command.change : undefined;
    const earlier = change && this.#outcomes.get(change);
    if (earlier) {
      this.#publish(index, []);
      return encodeOutcome(earlier);
    }
    const outcome = this.#execute(index, command);
    if (change) this.#remember(change, outcome);
    return encodeOutcome(outcome);
  }

  override snapshot(): Uint8Array {
    const snapshot: Snapshot = {
      feed: this.feed.toState(),
      outcomes: [...this.#outcomes],
      usage: this.usage.toJSON(),
    };
    return packr.pack(snapshot);
  }

  override restore(bytes: Uint8Array): void {
    const snapshot = unpackr.unpack(bytes) as Snapshot;
    this.feed.restore(snapshot.feed);
    this.#outcomes = new Map(snapshot.outcomes);
    this.usage.restore(snapshot.usage);
  }

  #execute(index: number, command: Command): CommandOutcome {
    switch (command.type) {
      case 'configure':
        return this.#configure(index, command);
      case 'giveKey':
        return this.#giveKey(index, command);
      case 'withdrawKey':
        return this.#withdrawKey(index, command);
      case 'meter':
        this.usage.add(command.batch);
        return this.#done(index, []);
      case 'fence':
        return this.#done(index, [{ type: 'fenced', fence: this.feed.fence + 1 }]);
      default:
        return unreachable(command);
    }
  }

  #configure(index: number, command: Extract<Command, { type: 'configure' }>): CommandOutcome {
    const { revision } = this.feed;
    if (command.expected !== revision) {
      const message = `made against revision ${command.expected}, the present one is ${revision}`;
      return this.#refused(index, ledgerCodes.revisionConflict.number, message);
    }
    const { configuration } = command;
    return this.#done(index, [{ type: 'configured', revision: revision + 1, configuration }]);
  }

  #giveKey(index: number, command: Extract<Command, { type: 'giveKey' }>): CommandOutcome {
    const { workspace } = command.record;
    if (!(workspace in this.feed.configuration.customers)) {
      const message = `no workspace "${workspace}"`;
      return this.#refused(index, ledgerCodes.workspaceUnknown.number, message);
    }
    return this.#done(index, [{ type: 'keyGiven', key: command.record }]);
  }

  #withdrawKey(index: number, command: Extract<Command, { type: 'withdrawKey' }>): CommandOutcome {
    if (!this.feed.hasKey(command.key)) {
      return this.#refused(index, ledgerCodes.keyUnknown.number, `no key "${command.key}"`);
    }
    return this.#done(index, [{ type: 'keyWithdrawn', key: command.key }]);
  }

  #done(index: number, changes: readonly FeedChange[]): CommandOutcome {
    this.#publish(index, changes);
    return { type: 'done', revision: this.feed.revision, fence: this.feed.fence };
  }

  #refused(index: number, code: number, message: string): CommandOutcome {
    this.#publish(index, []);
    return { type: 'refused', code, message };
  }

  #publish(index: number, changes: readonly FeedChange[]): void {
    this.feed.apply(index, changes);
    this.lastChanges = changes;
  }

  #remember(change: ChangeId, outcome: CommandOutcome): void {
    this.#outcomes.set(change, outcome);
    const [oldest] = this.#outcomes.keys();
    if (this.#outcomes.size > KEPT_OUTCOMES && oldest) this.#outcomes.delete(oldest);
  }
}
