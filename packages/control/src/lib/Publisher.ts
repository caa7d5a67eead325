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

/** A link to an entry, sidecar or observer. @public */
export type NodeLink = Link<ControlMessage, NodeMessage | NodeCall>;

/** @public */
export type Hello = Extract<NodeMessage, { type: 'hello' }>;

type Renew = Extract<NodeMessage, { type: 'renew' }>;

/** A connected entry, sidecar or observer. @public */
export interface Subscriber {
  readonly link: NodeLink;
  readonly hello: Hello;
  /** Index applied by the node, and by all that depend on it. */
  applied: number;
  /** Time of the last renewal that was answered, on this process's monotonic clock. */
  renewedAt: number;
}

/** Options of a publisher. @public */
export interface PublisherOptions {
  readonly timer: Timer;
  readonly state: StateCopy;
  /** The endpoints as known now. */
  readonly members: () => Member[];
  /**
   * Age of the proof that the state includes everything committed, in milliseconds: 0 for a leader
   * under its lease; undefined when nothing can be vouched for now.
   */
  readonly proofAgeMs: () => number | undefined;
}

/** Time after which a node without renewal surely takes no new work. */
const LEASE_EXPIRY_MS = FRESHNESS_MS * (1 + CLOCK_RATE_BOUND);

/** Time after a change of leader in which nodes connect again; until then members are incomplete. */
const SETTLING_MS = 5000;

/**
 * Sends the replicated state and the members to subscribers, and knows where it is in force. Used
 * by the leader and by observers.
 * @public
 */
export class Publisher implements Disposable {
  readonly #options: PublisherOptions;

  readonly #subscribers = new Map<NodeLink, Subscriber>();

  readonly #byProcess = new Map<string, Subscriber>();

  /** Nodes that have gone but may still hold a freshness lease. */
  readonly #disconnected = new Map<string, { applied: number; renewedAt: number }>();

  #publishingSince = -Infinity;

  #settlingTimer: Disposable | undefined;

  constructor(options: PublisherOptions) {
    this.#options = options;
  }

  get subscribers(): Subscriber[] {
    return [...this.#subscribers.values()];
  }

  /**
   * Begins to publish. Nodes may hold leases from another publisher until one lease after this
   * call, and keep the members that they know until all have had time to connect.
   */
  open(): void {
    this.#publishingSince = this.#options.timer.now();
    this.#settlingTimer?.[Symbol.dispose]();
    this.#settlingTimer = this.#options.timer.after(SETTLING_MS, () => {
      this.#settlingTimer = undefined;
      for (const link of this.#subscribers.keys()) this.#sendAllMembers(link, true);
    });
  }

  /** Sends all subscribers to another replica. */
  close(): void {
    this.#settlingTimer?.[Symbol.dispose]();
    this.#settlingTimer = undefined;
    for (const link of [...this.#subscribers.keys()]) link.send({ type: 'redirect' });
    this.#subscribers.clear();
    this.#byProcess.clear();
    this.#disconnected.clear();
  }

  [Symbol.dispose](): void {
    this.#settlingTimer?.[Symbol.dispose]();
  }

  join(link: NodeLink, hello: Hello): void {
    this.#byProcess.get(hello.process)?.link[Symbol.dispose]();
    // A lease that was renewed over an earlier connection still runs.
    const renewedAt = this.#disconnected.get(hello.process)?.renewedAt ?? -Infinity;
    const subscriber = { link, hello, applied: hello.applied, renewedAt };
    this.#subscribers.set(link, subscriber);
    this.#byProcess.set(hello.process, subscriber);
    const { state } = this.#options;
    if (hello.applied !== state.index) link.send({ type: 'snapshot', state: state.toState() });
    this.#sendAllMembers(link, !this.#settlingTimer);
  }

  leave(link: NodeLink): Subscriber | undefined {
    const subscriber = this.#subscribers.get(link);
    if (!subscriber) return undefined;
    const { applied, renewedAt, hello } = subscriber;
    this.#subscribers.delete(link);
    this.#byProcess.delete(hello.process);
    this.#disconnected.set(hello.process, { applied, renewedAt });
    return subscriber;
  }

  findProcess(process: string): Subscriber | undefined {
    return this.#byProcess.get(process);
  }

  find(link: NodeLink): Subscriber | undefined {
    return this.#subscribers.get(link);
  }

  /** Answers a renewal, unless nothing can be vouched for now. */
  renew(link: NodeLink, renew: Renew): void {
    const subscriber = this.#subscribers.get(link);
    if (!subscriber) return;
    subscriber.applied = Math.max(subscriber.applied, renew.applied);
    const ageMs = this.#options.proofAgeMs();
    if (ageMs === undefined) return;
    subscriber.renewedAt = this.#options.timer.now();
    const { index, fence } = this.#options.state;
    // The stamp was taken before this moment, so the proof is at most this much older than it.
    const sentAt = renew.sentAt - ageMs * (1 + CLOCK_RATE_BOUND);
    link.send({ type: 'renewal', sentAt, index, fence });
  }

  /** Sends the changes of one index to all. */
  publish(index: number, changes: readonly FeedChange[]): void {
    const message: ControlMessage = { type: 'changes', index, changes: [...changes] };
    for (const link of this.#subscribers.keys()) link.send(message);
  }

  /** Sends the whole state to all, after it was replaced. */
  publishSnapshot(): void {
    const message: ControlMessage = { type: 'snapshot', state: this.#options.state.toState() };
    for (const link of this.#subscribers.keys()) link.send(message);
  }

  /** Sends a difference of the members to all. */
  publishMembers(changed: Member[], removed: EndpointId[]): void {
    const message: ControlMessage = { type: 'members', whole: false, changed, removed };
    for (const link of this.#subscribers.keys()) link.send(message);
  }

  /** Nodes that may still work with a state older than the index. */
  pendingNodes(index: number): string[] {
    const now = this.#options.timer.now();
    if (now < this.#publishingSince + LEASE_EXPIRY_MS) return ['nodes of the former leader'];
    const mayUseOlderState = ({
      applied,
      renewedAt,
    }: {
      applied: number;
      renewedAt: number;
    }): boolean => applied < index && renewedAt + LEASE_EXPIRY_MS > now;
    const pending = this.subscribers.filter(mayUseOlderState).map(({ hello }) => hello.process);
    for (const [process, disconnected] of this.#disconnected) {
      if (disconnected.renewedAt + LEASE_EXPIRY_MS <= now) this.#disconnected.delete(process);
      else if (mayUseOlderState(disconnected) && !this.#byProcess.has(process))
        pending.push(process);
    }
    return pending;
  }

  /** Index that all nodes have applied which may work on behalf of this publisher. */
  get minAppliedIndex(): number {
    const now = this.#options.timer.now();
    // Nodes of an earlier run of this process may still work.
    if (now < this.#publishingSince + LEASE_EXPIRY_MS) return 0;
    let { index } = this.#options.state;
    for (const node of [...this.#subscribers.values(), ...this.#disconnected.values()]) {
      if (node.renewedAt + LEASE_EXPIRY_MS > now) index = Math.min(index, node.applied);
    }
    return index;
  }

  #sendAllMembers(link: NodeLink, whole: boolean): void {
    link.send({ type: 'members', whole, changed: this.#options.members(), removed: [] });
  }
}
