import { Task, fail, type Failure, type Journal, type Timer } from '@berylwood/base';
import { FRESHNESS_MS, Subscription } from '@berylwood/feed';
import { LinkServer, type LinkIdentity } from '@berylwood/link';
import type {
  ControlMessage,
  EndpointId,
  IncarnationId,
  Member,
  NodeCall,
  NodeMessage,
  ObserverSettings,
  ProcessSettings,
} from '@berylwood/schema';
import { asId } from '@berylwood/base';
import type { Result } from 'neverthrow';
import { controlCodes } from './codes';
import { controlEvents } from './events';
import { NODE_KEEP_ALIVE_MS, NODE_PATH, nodeSchema } from './NodeServer';
import { Publisher, type NodeLink } from './Publisher';

/** Options of the observer role. @public */
export interface ObserverOptions {
  readonly settings: ObserverSettings;
  readonly process: ProcessSettings;
  readonly incarnation: IncarnationId;
  readonly timer: Timer;
  readonly journal: Journal;
  readonly identity?: LinkIdentity;
}

/**
 * A read-only replica in front of the control group. Fans out the state, the members and freshness
 * proofs to many nodes over one connection to the leader, and forwards their calls to it. A renewal
 * for a node is dated back by the age of the observer's own proof, so that it never looks fresher.
 * @public
 */
export class Observer extends Task {
  readonly name = 'observer';

  readonly #options: ObserverOptions;

  readonly #subscription: Subscription;

  readonly #publisher: Publisher;

  readonly #server: LinkServer;

  /** Members whose sidecars are connected to this observer. */
  readonly #localMembers = new Map<EndpointId, Member>();

  #address = '';

  constructor(options: ObserverOptions) {
    super();
    this.#options = options;
    const { settings, process, timer } = options;
    this.#subscription = this.store.add(
      new Subscription({
        ...options,
        addresses: settings.control,
        group: process.group,
        process: `${process.name}/observer`,
        dataCentre: asId(process.dataCentre),
        appliedIndex: () => this.#publisher.minAppliedIndex,
      }),
    );
    this.#publisher = this.store.add(
      new Publisher({
        timer,
        state: this.#subscription.state,
        members: () => [...this.#subscription.members.values()],
        proofAgeMs: () => this.#proofAgeMs,
      }),
    );
    this.#server = new LinkServer(options.identity);
  }

  /** Address that the observer listens on; empty before `start`. */
  get address(): string {
    return this.#address;
  }

  override async start(): Promise<void> {
    const { settings, timer, journal } = this.#options;
    const { state } = this.#subscription;
    this.#subscription.onChange = (changes) => {
      if (changes === 'snapshot') this.#publisher.publishSnapshot();
      else this.#publisher.publish(state.index, changes);
    };
    this.#subscription.onMembersChange = (changed, removed) =>
      this.#publisher.publishMembers(changed, removed);
    this.#subscription.onOrder = (order) => this.#forwardOrder(order);
    this.#subscription.onConnect = () => this.#relayMembers();
    this.#publisher.open();
    this.#server.accept<ControlMessage, NodeMessage | NodeCall>(
      NODE_PATH,
      { timer, journal, schema: nodeSchema, keepAliveMs: NODE_KEEP_ALIVE_MS },
      (link) => this.#handleConnection(link),
    );
    this.#subscription.open();
    this.#address = await this.#server.listen(settings.listen);
    journal.record(controlEvents.observerListening, { listen: this.#address });
  }

  override async stop(): Promise<void> {
    this.#publisher.close();
    await this.#server.close();
    await super.stop();
  }

  protected override handle(): void {
    // Messages arrive over links.
  }

  /** Age of the observer's own freshness proof in milliseconds; undefined once it has expired. */
  get #proofAgeMs(): number | undefined {
    const ageMs = this.#options.timer.now() - this.#subscription.provenAt;
    return ageMs < FRESHNESS_MS ? ageMs : undefined;
  }

  #handleConnection(link: NodeLink): void {
    link.onMessage = (message) => this.#receive(link, message);
    link.onCall = (call) => this.#forwardCall(call);
    link.onClose = () => {
      const member = this.#publisher.leave(link)?.hello.member;
      if (member && this.#localMembers.delete(member.endpoint)) this.#relayMembers();
    };
  }

  #receive(link: NodeLink, message: NodeMessage | NodeCall): void {
    if (message.type === 'hello') {
      this.#publisher.join(link, message);
      if (message.member) this.#localMembers.set(message.member.endpoint, message.member);
      this.#relayMembers();
    } else if (message.type === 'renew') {
      this.#publisher.renew(link, message);
      const member = this.#publisher.find(link)?.hello.member;
      const known = member && this.#localMembers.get(member.endpoint);
      if (!known || !message.state || known.state === message.state) return;
      this.#localMembers.set(known.endpoint, { ...known, state: message.state });
      this.#relayMembers();
    }
  }

  #relayMembers(): void {
    this.#subscription.relayMembers([...this.#localMembers.values()]);
  }

  #forwardOrder(order: Extract<ControlMessage, { type: 'order' }>): void {
    const { endpoint } = order.action;
    const subscriber = this.#publisher.subscribers.find(
      ({ hello }) => hello.member?.endpoint === endpoint,
    );
    subscriber?.link.send(order);
  }

  #forwardCall(call: NodeMessage | NodeCall): Promise<Result<unknown, Failure>> {
    if (call.type === 'hello' || call.type === 'renew' || call.type === 'relayed') {
      return Promise.resolve(fail(controlCodes.callUnknown, `no such call: ${call.type}`));
    }
    return this.#subscription.call(call);
  }
}
