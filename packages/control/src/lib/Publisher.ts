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
  /** Index applied by the node and, if it is an observer, by all nodes behind it. */
  applied: number;
  /** Time of the last answered renewal, on this process's monotonic clock. */
  renewedAt: number;
}

/** Options of a publisher. @public */
export interface PublisherOptions {
  readonly timer: Timer;
  readonly state: StateCopy;
  /** Returns the current members. */
  readonly members: () => Member[];
  /**
   * Age in milliseconds of the freshness proof, which shows that the state includes everything
   * committed: 0 for a leader under its lease; undefined when there is no valid proof.
   */
  readonly proofAgeMs: () => number | undefined;
}

/** Time after which a node without renewal takes no new work, even if its clock runs slow. */
const LEASE_EXPIRY_MS = FRESHNESS_MS * (1 + CLOCK_RATE_BOUND);

/** Time for nodes to reconnect after a change of leader; until then the members are incomplete. */
const SETTLING_MS = 5000;

/**
 * Sends the replicated state and the members to subscribers, and tracks which of them may still use
 * an older state. Used by the leader and by observers.
 * @public
 */
export class Publisher implements Disposable {
  readonly #options: PublisherOptions;

  readonly #subscribers = new Map<NodeLink, Subscriber>();

  readonly #byProcess = new Map<string, Subscriber>();

  /** Disconnected nodes that may still hold a freshness lease. */
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
   * Starts to publish. For one lease period after this call, nodes may hold leases from another
   * publisher. Nodes keep members that are missing here until all nodes have had time to connect.
   */
  open(): void {
    this.#publishingSince = this.#options.timer.now();
    this.#settlingTimer?.[Symbol.dispose]();
    this.#settlingTimer = this.#options.timer.after(SETTLING_MS, () => {
      this.#settlingTimer = undefined;
      for (const link of this.#subscribers.keys()) this.#sendAllMembers(link, true);
    });
  }

  /** Redirects all subscribers to another replica. */
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
    // A lease that was renewed over an earlier connection is still valid.
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

  /** Answers a renewal if there is a valid freshness proof. */
  renew(link: NodeLink, renew: Renew): void {
    const subscriber = this.#subscribers.get(link);
    if (!subscriber) return;
    subscriber.applied = Math.max(subscriber.applied, renew.applied);
    const ageMs = this.#options.proofAgeMs();
    if (ageMs === undefined) return;
    subscriber.renewedAt = this.#options.timer.now();
    const { index, fence } = this.#options.state;
    // The node took `sentAt` before now, so the proof is at most `ageMs` older than that stamp.
    const sentAt = renew.sentAt - ageMs * (1 + CLOCK_RATE_BOUND);
    link.send({ type: 'renewal', sentAt, index, fence });
  }

  /** Sends the changes of one index to all subscribers. */
  publish(index: number, changes: readonly FeedChange[]): void {
    const message: ControlMessage = { type: 'changes', index, changes: [...changes] };
    for (const link of this.#subscribers.keys()) link.send(message);
  }

  /** Sends the complete state to all subscribers after it was replaced. */
  publishSnapshot(): void {
    const message: ControlMessage = { type: 'snapshot', state: this.#options.state.toState() };
    for (const link of this.#subscribers.keys()) link.send(message);
  }

  /** Sends changed and removed members to all subscribers. */
  publishMembers(changed: Member[], removed: EndpointId[]): void {
    const message: ControlMessage = { type: 'members', whole: false, changed, removed };
    for (const link of this.#subscribers.keys()) link.send(message);
  }

  /** Nodes that may still use a state older than the index. */
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

  /** Lowest index applied by any node that may hold a freshness lease from this publisher. */
  get minAppliedIndex(): number {
    const now = this.#options.timer.now();
    // Nodes may still hold leases from an earlier run of this process.
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
