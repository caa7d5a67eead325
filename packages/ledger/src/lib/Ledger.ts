import { unreachable, type Code } from '@berylwood/base';
import { StateMachine } from '@berylwood/consensus';
import { StateCopy } from '@berylwood/feed';
import type { ChangeId, FeedChange, FeedState, KeyId, Suspicion } from '@berylwood/schema';
import type { Result } from 'neverthrow';
import { Claims } from './Claims';
import { ledgerCodes } from './codes';
import {
  decodeCommand,
  encodeOutcome,
  type Command,
  type CommandOf,
  type CommandOutcome,
} from './Command';
import { ConfigurationHistory } from './ConfigurationHistory';
import { digestCommand } from './digestCommand';
import { decodeSnapshot, encodeSnapshot, type LedgerSnapshot } from './LedgerSnapshot';
import { Orders } from './Orders';
import { Outcomes } from './Outcomes';
import { Restoration } from './Restoration';
import { Suspicions } from './Suspicions';
import { MAX_USAGE_AGE_MS, UsageMarks } from './UsageMarks';
import { UsageWindows } from './UsageWindows';

/** Options of the ledger. @public */
export interface LedgerOptions {
  /** Number of outcomes kept to answer resent changes; 50,000 by default. */
  readonly keptOutcomes?: number;
}

/**
 * Amounts added to the numbers of a restored backup. These numbers must never repeat, and nodes and
 * the platform may have received higher ones, issued after the backup was taken.
 */
const RESTORE_INCREMENT = { index: 1_000_000_000, revision: 1_000_000, fence: 1_000_000 } as const;

function reject(code: Code, message = code.meaning): CommandOutcome {
  return { type: 'refused', code: code.number, message };
}

/**
 * The replicated state: keys, configuration, claims, usage, orders and suspicions. Time is read only
 * from the commands, so that all replicas reach the same state.
 * @public
 */
export class Ledger extends StateMachine {
  /** Feed changes made by the last applied command. */
  lastChanges: readonly FeedChange[] = [];

  /** Called after a snapshot or a backup has replaced the state. */
  onRestore: () => void = () => {};

  readonly feed = new StateCopy();

  readonly history = new ConfigurationHistory();

  readonly claims = new Claims();

  readonly marks = new UsageMarks();

  readonly windows = new UsageWindows();

  readonly orders = new Orders();

  readonly suspicions = new Suspicions();

  readonly #outcomes: Outcomes;

  readonly #restoration = new Restoration();

  #clock = 0;

  #index = 0;

  #offset = 0;

  constructor(options: LedgerOptions = {}) {
    super();
    this.#outcomes = new Outcomes(options.keptOutcomes);
  }

  /** Latest time of any applied command, in wall-clock milliseconds. */
  get clock(): number {
    return this.#clock;
  }

  /**
   * Feed index of the last applied command: its log index plus the offset added by restores.
   * `feed.index` is lower when the last commands made no feed change.
   */
  get index(): number {
    return this.#index;
  }

  override apply(logIndex: number, bytes: Uint8Array): Uint8Array {
    const command = decodeCommand(bytes);
    this.#clock = Math.max(this.#clock, command.at);
    const index = logIndex + this.#offset;
    this.#index = index;
    this.lastChanges = [];
    const outcome =
      'change' in command
        ? this.#executeOnce(index, command.change, command)
        : this.#execute(index, command);
    return encodeOutcome(outcome);
  }

  override snapshot(): Uint8Array {
    return encodeSnapshot({
      clock: this.#clock,
      index: this.#index,
      offset: this.#offset,
      feed: this.feed.toState(),
      changes: this.#outcomes.toState(),
      history: this.history.revisions,
      claims: this.claims.toState(),
      marks: this.marks.toState(),
      windows: this.windows.toState(),
      orders: this.orders.all,
      suspicions: this.suspicions.toState(),
      restoration: this.#restoration.toState(),
    });
  }

  override restore(bytes: Uint8Array): void {
    const snapshot = decodeSnapshot(bytes);
    this.#load(snapshot, snapshot.feed);
    this.#index = snapshot.index;
    this.#offset = snapshot.offset;
    this.#restoration.restore(snapshot.restoration);
    this.onRestore();
  }

  #executeOnce(index: number, change: ChangeId, command: Command): CommandOutcome {
    const digest = digestCommand(command);
    const previous = this.#outcomes.find(change);
    if (previous) {
      const isSame = previous.digest === undefined || previous.digest === digest;
      return isSame ? previous.outcome : reject(ledgerCodes.changeReused);
    }
    if (this.#outcomes.isPastRetention(change)) return reject(ledgerCodes.changeForgotten);
    const outcome = this.#execute(index, command);
    this.#outcomes.add(change, { index, digest, outcome });
    return outcome;
  }

  #execute(index: number, command: Command): CommandOutcome {
    switch (command.type) {
      case 'configure':
        return this.#configure(index, command);
      case 'giveKey':
        return this.#giveKey(index, command);
      case 'withdrawKey':
        return this.#withdrawKey(index, command.key);
      case 'meter':
        return this.#meter(command);
      case 'claim':
      case 'settle':
        return this.#executeClaim(index, command);
      case 'suspect':
      case 'clear':
        return this.#executeSuspicion(index, command);
      case 'fence':
        this.windows.fixLength(command.windowMs ?? this.windows.windowMs, this.#clock);
        return this.#done(index, [{ type: 'fenced', fence: this.feed.fence + 1 }]);
      case 'closeWindows':
        this.windows.close(command.endsAt);
        return this.#done(index, []);
      case 'windowReported':
        return this.#toOutcome(index, this.windows.report(command.window, command.fence));
      case 'restorePart':
        return this.#restorePart(index, command);
      default:
        return this.#executeOrder(index, command);
    }
  }

  #configure(index: number, command: CommandOf<'configure'>): CommandOutcome {
    const { configuration, expected, operator, change } = command;
    const { latest } = this.history;
    const current = this.feed.revision;
    if (expected !== current) {
      const winner = latest ? `, put in force by ${latest.operator} with ${latest.change}` : '';
      const message = `made against revision ${expected}, the present one is ${current}${winner}`;
      return reject(ledgerCodes.revisionConflict, message);
    }
    const revision = current + 1;
    this.history.add({ revision, operator, at: this.#clock, change, index });
    return this.#done(index, [{ type: 'configured', revision, configuration }]);
  }

  #giveKey(index: number, { record }: CommandOf<'giveKey'>): CommandOutcome {
    if (!(record.workspace in this.feed.configuration.customers)) {
      const message = `no workspace "${record.workspace}"`;
      return reject(ledgerCodes.workspaceUnknown, message);
    }
    if (this.feed.hasKey(record.key) || this.feed.findKey(record.hash)) {
      return reject(ledgerCodes.keyTaken);
    }
    return { ...this.#done(index, [{ type: 'keyGiven', key: record }]), key: record };
  }

  #withdrawKey(index: number, key: KeyId): CommandOutcome {
    if (!this.feed.hasKey(key)) {
      return reject(ledgerCodes.keyUnknown, `no key "${key}"`);
    }
    return this.#done(index, [{ type: 'keyWithdrawn', key }]);
  }

  #meter({ batch, at }: CommandOf<'meter'>): CommandOutcome {
    const { incarnation, records } = batch;
    const isKnown = this.marks.isKnown(incarnation);
    let dropped = 0;
    for (const record of records) {
      const age = record.ageMs ?? 0;
      const isNew = this.marks.count(incarnation, record.sequence, this.#clock);
      // Without a mark for the incarnation, an old record may already have been counted.
      const isTooOld = !isKnown && age > MAX_USAGE_AGE_MS;
      if (isNew && !isTooOld) this.windows.add(record, at - age);
      if (isTooOld) dropped += 1;
    }
    return { type: 'metered', mark: this.marks.markOf(incarnation), dropped };
  }

  #executeClaim(index: number, command: CommandOf<'claim' | 'settle'>): CommandOutcome {
    if (command.type === 'settle') {
      return this.#toOutcome(index, this.claims.settle(command, this.#clock));
    }
    return this.claims.claim(command, this.#clock).match<CommandOutcome>(
      (answer) => ({ type: 'claimed', answer }),
      (code) => reject(code),
    );
  }

  #executeSuspicion(index: number, command: CommandOf<'suspect' | 'clear'>): CommandOutcome {
    const publish = (suspicions: Suspicion[]): CommandOutcome =>
      this.#done(
        index,
        suspicions.map((suspicion) => ({ type: 'suspected', suspicion })),
      );
    if (command.type === 'clear') {
      return publish(this.suspicions.clear(command.fingerprint, this.#clock));
    }
    const crash = command.crash ?? command.incarnation;
    return this.suspicions
      .suspect(command.fingerprints, crash, this.#clock)
      .match(publish, (code) => reject(code));
  }

  #executeOrder(
    index: number,
    command: CommandOf<'intendOrder' | 'sendOrder' | 'answerOrder' | 'loseOrder'>,
  ): CommandOutcome {
    const { order } = command;
    switch (command.type) {
      case 'intendOrder':
        return this.#toOutcome(index, this.orders.intend(order, command.action, this.#clock));
      case 'sendOrder': {
        const { fence } = command;
        if (fence !== this.feed.fence) return reject(ledgerCodes.fenceStale);
        return this.#toOutcome(index, this.orders.send(order, fence, this.#clock));
      }
      case 'answerOrder': {
        const { accepted, message } = command;
        return this.#toOutcome(index, this.orders.answer(order, accepted, message, this.#clock));
      }
      case 'loseOrder':
        return this.#toOutcome(index, this.orders.lose(order, command.reason, this.#clock));
      default:
        return unreachable(command);
    }
  }

  #restorePart(index: number, command: CommandOf<'restorePart'>): CommandOutcome {
    const isEmpty = this.feed.revision === 0 && this.feed.keys.length === 0;
    if (!isEmpty || !this.#restoration.add(command)) {
      return reject(ledgerCodes.restoreRefused);
    }
    if (command.part < command.parts) return this.#done(index, []);
    const snapshot = decodeSnapshot(this.#restoration.assemble());
    const { feed } = snapshot;
    const restoredIndex = Math.max(feed.index, index) + RESTORE_INCREMENT.index;
    this.#offset += restoredIndex - index;
    this.#index = restoredIndex;
    this.#load(snapshot, {
      ...feed,
      index: restoredIndex,
      revision: feed.revision + RESTORE_INCREMENT.revision,
      fence: Math.max(feed.fence, this.feed.fence) + RESTORE_INCREMENT.fence,
    });
    this.onRestore();
    return this.#done(restoredIndex, []);
  }

  #load(snapshot: LedgerSnapshot, feed: FeedState): void {
    this.#clock = Math.max(this.#clock, snapshot.clock);
    this.feed.restore(feed);
    this.#outcomes.restore(snapshot.changes);
    this.history.restore(snapshot.history);
    this.claims.restore(snapshot.claims);
    this.marks.restore(snapshot.marks);
    this.windows.restore(snapshot.windows);
    this.orders.restore(snapshot.orders);
    this.suspicions.restore(snapshot.suspicions);
  }

  #toOutcome(index: number, result: Result<void, Code>): CommandOutcome {
    return result.match(
      () => this.#done(index, []),
      (code) => reject(code),
    );
  }

  #done(index: number, changes: readonly FeedChange[]): Extract<CommandOutcome, { type: 'done' }> {
    if (changes.length > 0) this.feed.apply(index, changes);
    this.lastChanges = changes;
    const { revision, fence } = this.feed;
    return { type: 'done', index: this.feed.index, revision, fence };
  }
}
