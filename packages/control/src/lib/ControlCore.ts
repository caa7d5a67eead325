import { DisposableStore, type Journal, type Timer } from '@berylwood/base';
import type { Replica } from '@berylwood/consensus';
import type { Ledger } from '@berylwood/ledger';
import type { LinkServer } from '@berylwood/link';
import type { ControlSettings } from '@berylwood/schema';
import { applyInitialConfiguration } from './applyInitialConfiguration';
import { InForceMonitor } from './InForceMonitor';
import { InstanceLister } from './InstanceLister';
import { Leadership } from './Leadership';
import { MemberTable } from './MemberTable';
import { NodeServer } from './NodeServer';
import { OperatorService } from './OperatorService';
import { OrderSender } from './OrderSender';
import { PlatformClient } from './PlatformClient';
import { Proposer } from './Proposer';
import { Publisher } from './Publisher';
import { UsageReporter } from './UsageReporter';

/** Options of the core of a control replica. @internal */
export interface ControlCoreOptions {
  readonly settings: ControlSettings;
  readonly timer: Timer;
  readonly journal: Journal;
  readonly log: Replica;
  readonly ledger: Ledger;
}

/** Creates, owns and connects the components of a control replica, except for its log. @internal */
export class ControlCore implements Disposable {
  readonly service: OperatorService;

  readonly #options: ControlCoreOptions;

  readonly #store = new DisposableStore();

  readonly #leadership: Leadership;

  readonly #members: MemberTable;

  readonly #publisher: Publisher;

  readonly #nodeServer: NodeServer;

  constructor(options: ControlCoreOptions) {
    this.#options = options;
    const { settings, timer, log, ledger } = options;
    const proposer = new Proposer(log);
    const { replica, usageWindowMs: windowMs } = settings;
    const leadership = new Leadership({ ...options, proposer, replica, windowMs });
    this.#leadership = this.#store.add(leadership);
    const members = this.#store.add(new MemberTable(timer));
    this.#members = members;
    const publisher = new Publisher({
      timer,
      state: ledger.feed,
      members: () => members.members,
      proofAgeMs: () => (leadership.mayAct() ? 0 : undefined),
    });
    this.#publisher = this.#store.add(publisher);
    const platform = settings.platform ? new PlatformClient(settings.platform, timer) : undefined;
    const parts = { ...options, leadership, proposer, publisher, members, platform };
    const monitor = new InForceMonitor(parts);
    this.service = new OperatorService({ ...parts, monitor });
    this.#nodeServer = new NodeServer(parts);
    for (const Task of [OrderSender, UsageReporter, InstanceLister]) {
      this.#store.add(new Task(parts)).open();
    }
  }

  /** Connects the components; starts leading once this replica is elected and has its fencing number. */
  open(server: LinkServer): void {
    const { log, ledger } = this.#options;
    const publisher = this.#publisher;
    this.#members.onChange = (changed, removed) => publisher.publishMembers(changed, removed);
    log.onApplied = () => {
      if (ledger.lastChanges.length > 0) publisher.publish(ledger.feed.index, ledger.lastChanges);
    };
    ledger.onRestore = () => publisher.publishSnapshot();
    this.#leadership.onEstablished = () => {
      this.#startLeading();
    };
    this.#leadership.onLost = () => {
      this.#nodeServer.close();
      publisher.close();
      this.#members.clear();
    };
    this.#nodeServer.serve(server);
    this.#leadership.open();
  }

  [Symbol.dispose](): void {
    this.#store[Symbol.dispose]();
  }

  /** Applies the initial configuration if there is none, then accepts nodes. */
  async #startLeading(): Promise<void> {
    const { settings, ledger, journal } = this.#options;
    const { fence } = this.#leadership;
    await applyInitialConfiguration({ settings, ledger, journal, service: this.service });
    if (!this.#leadership.isLeading || this.#leadership.fence !== fence) return;
    this.#publisher.open();
    this.#nodeServer.open();
  }
}
