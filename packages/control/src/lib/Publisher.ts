import type { Timer } from '@berylwood/base';
import { CLOCK_RATE_BOUND, FRESHNESS_MS, type StateCopy } from '@berylwood/feed';
import type { Link } from '@berylwood/link';
import type {
  ControlMessage,
  EndpointId,
  FeedChange,
  Member,
  NodeCall,
  NodeMessage,
} from '@berylwood/schema';

type NodeLink = Link<ControlMessage, NodeMessage | NodeCall>;
type Hello = Extract<NodeMessage, { type: 'hello' }>;
type Renew = Extract<NodeMessage, { type: 'renew' }>;

/** A connected entry or sidecar. @public */
export interface Subscriber {
  readonly link: NodeLink;
  readonly hello: Hello;
  applied: number;
  /** Time of the last renewal that was answered, on this replica's monotonic clock. */
  renewedAt: number;
}

/** Options of a publisher. @public */
export interface PublisherOptions {
  readonly timer: Timer;
  readonly state: StateCopy;
  /** Whether this replica may vouch now that its state includes everything committed. */
  readonly mayVouch: () => boolean;
}

/** Time after which a node without renewal surely takes no new work. */
const EXPIRY_MS = FRESHNESS_MS * (1 + CLOCK_RATE_BOUND);

/** Sends the replicated state and the members to subscribers, and knows where it is in force. @public */
export class Publisher {
  readonly #options: PublisherOptions;

  readonly #subscribers = new Map<string, Subscriber>();

  /** Nodes that have gone but may still hold a freshness lease: process to the end of it. */
  readonly #departed = new Map<string, { applied: number; until: number }>();

  readonly #members = new Map<EndpointId, Member>();

  #leadingSince = 0;

  constructor(options: PublisherOptions) {
    this.#options = options;
  }

  get subscribers(): Subscriber[] {
    return [...this.#subscribers.values()];
  }

  get members(): Member[] {
    return [...this.#members.values()];
  }

  /** Nodes may hold leases of an earlier leader until one lease after this call. */
  startLeading(): void {
    this.#leadingSince = this.#options.timer.now();
  }

  join(link: NodeLink, hello: Hello): void {
    this.#subscribers.get(hello.process)?.link[Symbol.dispose]();
    const subscriber = { link, hello, applied: hello.applied, renewedAt: 0 };
    this.#subscribers.set(hello.process, subscriber);
    const { state } = this.#options;
    if (hello.applied < state.index) {
      subscriber.link.send({ type: 'snapshot', state: state.toState() });
    }
    link.send({ type: 'members', whole: true, changed: this.members, removed: [] });
    if (hello.member) this.#setMember(hello.member);
  }

  leave(link: NodeLink): void {
    for (const [process, subscriber] of this.#subscribers) {
      if (subscriber.link !== link) continue;
      this.#subscribers.delete(process);
      const { applied, renewedAt, hello } = subscriber;
      this.#departed.set(process, { applied, until: renewedAt + EXPIRY_MS });
      if (hello.member) this.#removeMember(hello.member);
    }
  }

  renew(link: NodeLink, renew: Renew): void {
    const subscriber = this.subscribers.find((item) => item.link === link);
    if (!subscriber) return;
    subscriber.applied = Math.max(subscriber.applied, renew.applied);
    const { member } = subscriber.hello;
    const known = member && this.#members.get(member.endpoint);
    if (known && renew.state && known.state !== renew.state) {
      this.#setMember({ ...known, state: renew.state });
    }
    if (!this.#options.mayVouch()) return;
    subscriber.renewedAt = this.#options.timer.now();
    const { index, fence } = this.#options.state;
    link.send({ type: 'renewal', sentAt: renew.sentAt, index, fence });
  }

  /** Sends the changes of one log index to all. */
  publish(index: number, changes: readonly FeedChange[]): void {
    const message: ControlMessage = { type: 'changes', index, changes: [...changes] };
    for (const { link } of this.#subscribers.values()) link.send(message);
  }

  /** Nodes that may still work with a state older than the index. */
  pendingNodes(index: number): string[] {
    const now = this.#options.timer.now();
    if (now < this.#leadingSince + EXPIRY_MS) return ['nodes of the former leader'];
    const pending = this.subscribers
      .filter(({ applied, renewedAt }) => applied < index && renewedAt + EXPIRY_MS > now)
      .map(({ hello }) => hello.process);
    for (const [process, { applied, until }] of this.#departed) {
      if (until <= now) this.#departed.delete(process);
      else if (applied < index && !this.#subscribers.has(process)) pending.push(process);
    }
    return pending;
  }

  #setMember(member: Member): void {
    this.#members.set(member.endpoint, member);
    this.#sendMembers([member], []);
  }

  #removeMember(member: Member): void {
    if (this.#members.get(member.endpoint)?.incarnation !== member.incarnation) return;
    this.#members.delete(member.endpoint);
    this.#sendMembers([], [member.endpoint]);
  }

  #sendMembers(changed: Member[], removed: EndpointId[]): void {
    const message: ControlMessage = { type: 'members', whole: false, changed, removed };
    for (const { link } of this.#subscribers.values()) link.send(message);
  }
}
