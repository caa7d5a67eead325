import { Task, type Failure, type Journal, type Timer } from '@berylwood/base';
import type { Replica } from '@berylwood/consensus';
import { Ledger } from '@berylwood/ledger';
import { LinkServer, type LinkIdentity } from '@berylwood/link';
import type { ControlSettings } from '@berylwood/schema';
import { PeerTransport } from '@berylwood/registry';
import { ControlCore } from './ControlCore';
import { controlEvents } from './events';
import { openReplica } from './openReplica';
import { OperatorServer } from './OperatorServer';

/** Options of the control role. @public */
export interface ControlOptions {
  readonly settings: ControlSettings;
  readonly timer: Timer;
  readonly journal: Journal;
  readonly identity?: LinkIdentity;
}

/** Interval between health checks of the replica. */
const HEALTH_INTERVAL_MS = 500;

/** One control replica: replicates the state, feeds the nodes and serves operators. @public */
export class Control extends Task {
  readonly name = 'control';

  readonly #options: ControlOptions;

  readonly #linkServer: LinkServer;

  readonly #transport: PeerTransport;

  #log: Replica | undefined;

  #fail: (failure: Failure) => void = () => {};

  /** Rejects when the replica has failed. */
  readonly #failed = new Promise<never>((_, reject) => {
    this.#fail = reject;
  });

  #operatorServer: OperatorServer | undefined;

  constructor(options: ControlOptions) {
    super();
    this.#options = options;
    this.#linkServer = new LinkServer(options.identity);
    const { voters } = options.settings;
    const addresses = new Map(voters.map(({ replica, address }) => [replica, address]));
    this.#transport = this.store.add(
      new PeerTransport({
        ...options,
        resolveAddress: (replica, address) => addresses.get(replica) ?? address,
      }),
    );
  }

  /** @throws Failure `dataFolderUnusable`, or a failure of the replicated log. */
  override async start(): Promise<void> {
    const { settings, timer, journal } = this.#options;
    const ledger = new Ledger();
    const transport = this.#transport;
    const log = await openReplica({ settings, timer, journal, machine: ledger, transport });
    this.#log = log;
    const core = this.store.add(new ControlCore({ settings, timer, journal, log, ledger }));
    transport.serve(this.#linkServer);
    core.open(this.#linkServer);
    this.#operatorServer = new OperatorServer(core.service);
    await this.#linkServer.listen(settings.listen);
    await this.#operatorServer.listen(settings.operator);
    this.store.add(timer.every(HEALTH_INTERVAL_MS, () => this.#checkHealth()));
    journal.record(controlEvents.controlListening, { listen: settings.listen });
  }

  /** Runs until it is stopped or the replica fails, after which its disk can not be trusted. */
  override async run(): Promise<void> {
    await Promise.race([super.run(), this.#failed]);
  }

  /** Transfers leadership first, so that the group does not go without a leader for an election. */
  override async stop(): Promise<void> {
    await this.#log?.transferLeadership();
    await this.#operatorServer?.close();
    await super.stop();
    await this.#log?.close();
    await this.#linkServer.close();
  }

  protected override handle(): void {
    // Messages arrive over links.
  }

  #checkHealth(): void {
    const failure = this.#log?.status.failure;
    if (failure) this.#fail(failure);
  }
}
