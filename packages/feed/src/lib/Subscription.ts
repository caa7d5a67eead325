import {
  DisposableStore,
  Failure,
  fail,
  unreachable,
  type Journal,
  type Timer,
} from '@berylwood/base';
import { Dialer, linkCodes, type Link, type LinkIdentity } from '@berylwood/link';
import {
  controlMessageSchema,
  type ControlMessage,
  type DataCentreId,
  type EndpointId,
  type FeedChange,
  type IncarnationId,
  type Member,
  type NodeCall,
  type NodeMessage,
} from '@berylwood/schema';
import type { Result } from 'neverthrow';
import { FRESHNESS_MS, RENEWAL_INTERVAL_MS } from './constants';
import { feedEvents } from './events';
import { StateCopy } from './StateCopy';

/** Options of a subscription. @public */
export interface SubscriptionOptions {
  readonly timer: Timer;
  readonly journal: Journal;
  /** Addresses of control replicas or observers. */
  readonly addresses: readonly string[];
  readonly group: string;
  readonly process: string;
  readonly incarnation: IncarnationId;
  readonly dataCentre: DataCentreId;
  /** Set by a sidecar: returns the member entry of its endpoint. */
  readonly member?: () => Member;
  readonly identity?: LinkIdentity;
  /**
   * Index to report as applied. Set when other processes receive the state through this process;
   * defaults to the index of this copy.
   */
  readonly appliedIndex?: () => number;
}

/** Interval of keep-alive messages. A connection is closed after three intervals without data. */
const KEEP_ALIVE_INTERVAL_MS = 400;
const SILENCE_TIMEOUT_MS = 3 * KEEP_ALIVE_INTERVAL_MS;

/** An order for the endpoint of a sidecar. @public */
export type EndpointOrder = Extract<ControlMessage, { type: 'order' }>;

type MembersMessage = Extract<ControlMessage, { type: 'members' }>;

type ControlLink = Link<NodeMessage | NodeCall, ControlMessage>;

/**
 * Maintains a copy of the replicated state and the freshness lease of this process. The lease shows
 * that the process has applied everything that was committed at a point in time less than 2 s ago,
 * by its own monotonic clock.
 * @public
 */
export class Subscription implements Disposable {
  readonly state = new StateCopy();

  readonly members = new Map<EndpointId, Member>();

  /** Called after the state has changed; `'snapshot'` means that any part may have changed. */
  onChange: (changes: readonly FeedChange[] | 'snapshot') => void = () => {};

  /** Called after the members have changed, with the changed and the removed ones. */
  onMembersChange: (changed: Member[], removed: EndpointId[]) => void = () => {};

  onFreshnessChange: (isFresh: boolean) => void = () => {};

  /** Called with each order for the endpoint of this sidecar. Orders may be repeated or outdated. */
  onOrder: (order: EndpointOrder) => void = () => {};

  /** Called when the hello message has been sent on a new connection to the control group. */
  onConnect: () => void = () => {};

  readonly #options: SubscriptionOptions;

  readonly #store = new DisposableStore();

  readonly #dialer: Dialer<NodeMessage | NodeCall, ControlMessage>;

  #provenAt = -Infinity;

  #wasFresh = false;

  constructor(options: SubscriptionOptions) {
    this.#options = options;
    this.#dialer = this.#store.add(
      new Dialer({
        ...options,
        path: '/node',
        schema: controlMessageSchema,
        keepAliveMs: KEEP_ALIVE_INTERVAL_MS,
        silenceTimeoutMs: SILENCE_TIMEOUT_MS,
      }),
    );
    this.#dialer.onLink = (link) => this.#sendHello(link);
  }

  /** Whether the freshness lease is valid, so that new work may be accepted. */
  get isFresh(): boolean {
    return this.#options.timer.now() < this.#provenAt + FRESHNESS_MS;
  }

  /** Latest time, on the local monotonic clock, at which the copy was proven to be current. */
  get provenAt(): number {
    return this.#provenAt;
  }

  open(): void {
    this.#store.add(this.#options.timer.every(RENEWAL_INTERVAL_MS, () => this.renew()));
    this.#store.add(
      this.#options.timer.every(RENEWAL_INTERVAL_MS / 2, () => this.#updateFreshness()),
    );
    this.#dialer.open();
  }

  /** Sends a call to the control group. */
  call<Reply>(call: NodeCall, timeoutMs?: number): Promise<Result<Reply, Failure>> {
    const { link } = this.#dialer;
    if (!link) {
      const notRun = { notRun: true };
      return Promise.resolve(fail(linkCodes.linkLost, 'no control replica is connected', notRun));
    }
    return link.call<Reply>(call, timeoutMs);
  }

  /** Requests a renewal of the freshness lease and reports the state of the member. */
  renew(): void {
    const { timer, member, appliedIndex } = this.#options;
    const sentAt = timer.now();
    const applied = appliedIndex?.() ?? this.state.index;
    this.#dialer.link?.send({ type: 'renew', sentAt, applied, state: member?.().state });
  }

  /** Sends the full list of members that are connected through this process. */
  relayMembers(members: readonly Member[]): void {
    this.#dialer.link?.send({ type: 'relayed', members: [...members] });
  }

  [Symbol.dispose](): void {
    this.#store[Symbol.dispose]();
  }

  #sendHello(link: ControlLink): void {
    const { group, process, incarnation, dataCentre, member } = this.#options;
    link.onMessage = (message) => this.#handle(message);
    const applied = this.state.index;
    const hello = { group, process, incarnation, dataCentre, applied, member: member?.() };
    link.send({ type: 'hello', ...hello });
    this.onConnect();
    this.renew();
  }

  #handle(message: ControlMessage): void {
    switch (message.type) {
      case 'redirect':
        if (message.address) this.#dialer.redirect(message.address);
        else this.#dialer.link?.[Symbol.dispose]();
        break;
      case 'snapshot':
        if (this.state.restore(message.state)) this.#handleStateChange('snapshot');
        break;
      case 'changes':
        this.state.apply(message.index, message.changes);
        this.#handleStateChange(message.changes);
        break;
      case 'members':
        this.#applyMembers(message);
        break;
      case 'renewal':
        this.#handleRenewal(message);
        break;
      case 'order':
        this.onOrder(message);
        break;
      default:
        unreachable(message);
    }
  }

  #handleStateChange(changes: readonly FeedChange[] | 'snapshot'): void {
    const { journal } = this.#options;
    if (changes === 'snapshot' || changes.some(({ type }) => type === 'configured')) {
      journal.record(feedEvents.configurationApplied, { revision: this.state.revision });
    }
    for (const change of changes === 'snapshot' ? [] : changes) {
      if (change.type === 'keyWithdrawn')
        journal.record(feedEvents.keyWithdrawn, { key: change.key });
    }
    this.onChange(changes);
    // Reports the applied index at once, so that the control group can count the change as in force.
    this.renew();
  }

  #applyMembers({ whole, changed, removed }: MembersMessage): void {
    const present = new Set(changed.map(({ endpoint }) => endpoint));
    const removedEndpoints = whole
      ? [...this.members.keys()].filter((endpoint) => !present.has(endpoint))
      : removed;
    for (const member of changed) this.members.set(member.endpoint, member);
    for (const endpoint of removedEndpoints) this.members.delete(endpoint);
    this.onMembersChange(changed, removedEndpoints);
  }

  #handleRenewal(renewal: Extract<ControlMessage, { type: 'renewal' }>): void {
    if (this.state.index < renewal.index) return;
    this.#provenAt = Math.max(this.#provenAt, renewal.sentAt);
    this.#updateFreshness();
  }

  #updateFreshness(): void {
    const { isFresh } = this;
    if (isFresh === this.#wasFresh) return;
    this.#wasFresh = isFresh;
    const event = isFresh ? feedEvents.freshnessGained : feedEvents.freshnessLost;
    this.#options.journal.record(event, { index: this.state.index });
    this.onFreshnessChange(isFresh);
  }
}
