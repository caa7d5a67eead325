import { Task, fail, type Failure, type Journal, type Timer } from '@berylwood/base';
import { LocalLog, type ReplicatedLog } from '@berylwood/consensus';
import { Ledger } from '@berylwood/ledger';
import { LinkServer, linkCodes, type Link, type LinkIdentity } from '@berylwood/link';
import {
  createChangeId,
  loadConfiguration,
  formatProblem,
  nodeCallSchema,
  nodeMessageSchema,
  type ControlMessage,
  type ControlSettings,
  type NodeCall,
  type NodeMessage,
} from '@berylwood/schema';
import { ok, type Result } from 'neverthrow';
import { z } from 'zod';
import { controlEvents } from './events';
import { OperatorServer } from './OperatorServer';
import { OperatorService } from './OperatorService';
import { Proposer } from './Proposer';
import { Publisher } from './Publisher';

/** Options of the control role. @public */
export interface ControlOptions {
  readonly settings: ControlSettings;
  readonly timer: Timer;
  readonly journal: Journal;
  readonly identity?: LinkIdentity;
}

type NodeLink = Link<ControlMessage, NodeMessage | NodeCall>;

const nodeSchema = z.union([nodeMessageSchema, nodeCallSchema]);

/** One control replica: replicated state, feed to the nodes, and the operators' service. @public */
export class Control extends Task {
  readonly name = 'control';

  readonly #options: ControlOptions;

  readonly #ledger = new Ledger();

  readonly #log: ReplicatedLog;

  readonly #proposer: Proposer;

  readonly #publisher: Publisher;

  readonly #service: OperatorService;

  readonly #links: LinkServer;

  readonly #operators: OperatorServer;

  constructor(options: ControlOptions) {
    super();
    this.#options = options;
    const { timer, settings } = options;
    this.#log = new LocalLog(settings.replica, this.#ledger, timer);
    this.#proposer = new Proposer(this.#log);
    this.#publisher = new Publisher({
      timer,
      state: this.#ledger.feed,
      mayVouch: () => this.#log.holdsLease,
    });
    this.#service = new OperatorService({
      ...options,
      log: this.#log,
      ledger: this.#ledger,
      proposer: this.#proposer,
      publisher: this.#publisher,
    });
    this.#links = new LinkServer(options.identity);
    this.#operators = new OperatorServer(this.#service);
  }

  override async start(): Promise<void> {
    const { settings, journal, timer } = this.#options;
    this.#log.onApplied = (index) => this.#publisher.publish(index, this.#ledger.lastChanges);
    this.#publisher.startLeading();
    await this.#found();
    this.#links.accept<ControlMessage, NodeMessage | NodeCall>(
      '/node',
      { timer, journal, schema: nodeSchema },
      (link) => this.#welcome(link),
    );
    await this.#links.listen(settings.listen);
    await this.#operators.listen(settings.operator);
    journal.record(controlEvents.controlListening, { listen: settings.listen });
  }

  override async stop(): Promise<void> {
    await this.#log.transferLeadership();
    await this.#operators.close();
    await this.#links.close();
    await this.#log.close();
    await super.stop();
  }

  protected override handle(): void {
    // Messages come over links.
  }

  /** Applies the lists named in the settings when the group has no configuration yet. */
  async #found(): Promise<void> {
    const { plans, customers, demoKey } = this.#options.settings;
    if (this.#ledger.feed.revision > 0 || !plans || !customers) return;
    const loaded = loadConfiguration(plans, customers);
    if (loaded.isErr()) throw new Error(loaded.error.map(formatProblem).join('\n'));
    await this.#service.applyConfiguration(createChangeId(), 'settings', 0, loaded.value);
    const [workspace] = Object.keys(loaded.value.customers);
    if (demoKey && workspace) await this.#service.giveKey(createChangeId(), workspace, demoKey);
  }

  #welcome(link: NodeLink): void {
    link.onMessage = (message) => this.#receive(link, message);
    link.onCall = (call) => this.#serve(call);
    link.onClose = () => this.#publisher.leave(link);
  }

  #receive(link: NodeLink, message: NodeMessage | NodeCall): void {
    if (message.type === 'hello') {
      this.#publisher.join(link, message);
      this.#options.journal.record(controlEvents.nodeJoined, { process: message.process });
    } else if (message.type === 'renew') {
      this.#publisher.renew(link, message);
    }
  }

  async #serve(call: NodeMessage | NodeCall): Promise<Result<unknown, Failure>> {
    if (call.type !== 'meter') return fail(linkCodes.callFailed, `no such call: ${call.type}`);
    const at = this.#options.timer.wall();
    const accepted = await this.#proposer.propose({ type: 'meter', at, batch: call.batch });
    return accepted.andThen(() => ok(this.#ledger.usage.markOf(call.batch.incarnation)));
  }
}
