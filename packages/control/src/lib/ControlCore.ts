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

/** What the parts of a control replica work on. @internal */
export interface ControlCoreOptions {
  readonly settings: ControlSettings;
  readonly timer: Timer;
  readonly journal: Journal;
  readonly log: Replica;
  readonly ledger: Ledger;
}

/** The parts of a control replica around its log: owns them and connects them. @internal */
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

  /** Connects the parts, and begins to lead when the log says so. */
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

  /** Takes in nodes once there is a configuration for them. */
  async #startLeading(): Promise<void> {
    const { settings, ledger, journal } = this.#options;
    const { fence } = this.#leadership;
    await applyInitialConfiguration({ settings, ledger, journal, service: this.service });
    if (!this.#leadership.isLeading || this.#leadership.fence !== fence) return;
    this.#publisher.open();
    this.#nodeServer.open();
  }
}
