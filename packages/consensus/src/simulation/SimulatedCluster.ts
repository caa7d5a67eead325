import { Random, VirtualTimer, createSilentJournal, type Journal } from '@berylwood/base';
import { createReplicaName, type Incarnation, type ReplicaName } from '../lib/ids';
import { voters } from '../lib/Membership';
import { Replica } from '../lib/Replica';
import type { ReplicaOptions, UnsafeDeviations } from '../lib/ReplicaOptions';
import { RegisterMachine } from './RegisterMachine';
import { SimulatedDisk } from './SimulatedDisk';
import { SimulatedNetwork, SimulatedTransport } from './SimulatedNetwork';
import { SimulatedTimer } from './SimulatedTimer';

/** Settings of a simulated cluster. */
export interface ClusterOptions {
  readonly seed: number;
  readonly names: readonly string[];
  /** Clock rates lie within this relative bound around 1. */
  readonly clockRateSpread?: number;
  readonly replica?: Partial<ReplicaOptions>;
  readonly unsafe?: UnsafeDeviations;
}

const DEFAULT_TIMES = { heartbeatMs: 20, leaseMs: 120, electionTimeoutMs: 140 };
const MAX_OPENING_MS = 1000;
const MAX_ORIGIN_MS = 100_000;

/** One machine: its disk outlives the processes that run on it. */
export class SimulatedNode {
  readonly name: ReplicaName;

  readonly disk: SimulatedDisk;

  /** Replicas that it contacts with an empty disk; all founders by default. */
  seeds: readonly ReplicaName[] | undefined;

  replica: Replica | undefined;

  machine = new RegisterMachine();

  timer: SimulatedTimer;

  /** Incarnation of the last process that ran here. */
  lastIncarnation: Incarnation | undefined;

  isStarting = false;

  /** Code of the failure that kept the replica from opening. */
  refusal: string | undefined;

  constructor(name: ReplicaName, disk: SimulatedDisk, timer: SimulatedTimer) {
    this.name = name;
    this.disk = disk;
    this.timer = timer;
  }

  /** The running replica, unless its process is frozen. */
  get active(): Replica | undefined {
    return this.timer.isFrozen ? undefined : this.replica;
  }
}

/** Replicas of the real code on simulated clocks, disks and a network, all from one seed. */
export class SimulatedCluster {
  readonly base = new VirtualTimer();

  readonly random: Random;

  readonly network: SimulatedNetwork;

  readonly nodes: SimulatedNode[];

  /** Called when a replica applies a command. */
  onApplied: (node: SimulatedNode, index: number, command: Uint8Array) => void = () => {};

  /** Called between two events. */
  onStep: () => void = () => {};

  /** Voters of the latest membership that a replica has applied; none during a replacement. */
  committedVoters: readonly Incarnation[] = [];

  readonly #options: ClusterOptions;

  #committedAt = 0;

  readonly #journal: Journal;

  constructor(options: ClusterOptions) {
    this.#options = options;
    this.random = new Random(options.seed);
    this.network = new SimulatedNetwork(this.base, this.random);
    this.#journal = createSilentJournal(this.base);
    this.nodes = options.names.map((name) => this.#createNode(createReplicaName(name)));
  }

  get leader(): SimulatedNode | undefined {
    const leaders = this.nodes.filter((node) => node.replica?.status.role === 'leader');
    leaders.sort((a, b) => (b.replica?.status.term ?? 0) - (a.replica?.status.term ?? 0));
    return leaders[0];
  }

  node(name: string): SimulatedNode {
    const found = this.nodes.find((node) => node.name === name);
    if (!found) throw new Error(`no node ${name}`);
    return found;
  }

  /** Adds a machine with an empty disk. */
  add(name: string): SimulatedNode {
    const node = this.#createNode(createReplicaName(name));
    this.nodes.push(node);
    return node;
  }

  async startAll(): Promise<void> {
    await this.startNow(...this.nodes);
  }

  /** Starts processes and runs time until their disks have been read. */
  async startNow(...nodes: readonly SimulatedNode[]): Promise<void> {
    const isOpen = ({ replica, refusal }: SimulatedNode): boolean =>
      replica !== undefined || refusal !== undefined;
    nodes.forEach((node) => {
      this.start(node).catch(() => {});
    });
    await this.runUntil(() => nodes.every(isOpen), MAX_OPENING_MS);
  }

  /** Starts a process on a machine; resolves once its disk was read, while time is run. */
  async start(node: SimulatedNode, unsafe = this.#options.unsafe): Promise<void> {
    if (node.replica || node.isStarting) return;
    const { name } = node;
    node.isStarting = true;
    node.timer = this.#createTimer();
    node.machine = new RegisterMachine();
    node.refusal = undefined;
    const { timer, machine, disk } = node;
    disk.resume = (callback) => timer.run(callback);
    const transport = new SimulatedTransport(this.network, name);
    this.network.attach(name, (message) => timer.run(() => transport.onMessage(message)));
    const { names } = this.#options;
    const opened = await Replica.open({
      ...DEFAULT_TIMES,
      ...this.#options.replica,
      replica: name,
      address: name,
      machine,
      transport,
      disk,
      timer,
      random: this.random,
      journal: this.#journal,
      seeds: node.seeds ?? names.filter((item) => item !== name).map(createReplicaName),
      founder: name === names[0],
      unsafe,
    });
    if (node.timer !== timer) return;
    node.isStarting = false;
    if (opened.isErr()) node.refusal = opened.error.code.name;
    else this.#attach(node, opened.value);
  }

  /** Stops a machine in the middle of what it does. */
  crash(node: SimulatedNode): void {
    const { replica } = node;
    node.replica = undefined;
    node.isStarting = false;
    node.timer.end();
    if (replica) replica.onApplied = () => {};
    node.disk.crash();
    node.disk.resume = undefined;
    this.network.attach(node.name, () => {});
  }

  /** Runs until the time has passed. */
  async run(durationMs: number): Promise<void> {
    await this.runUntil(() => false, durationMs);
  }

  /** Runs until the condition holds; false if it does not within the time. */
  async runUntil(condition: () => boolean, limitMs: number): Promise<boolean> {
    const end = this.base.now() + limitMs;
    for (;;) {
      if (condition()) return true;
      const next = Math.min(this.base.nextAt ?? end, end);
      this.base.advance(next - this.base.now());
      await drain();
      this.onStep();
      if (next >= end) return condition();
    }
  }

  #createNode(name: ReplicaName): SimulatedNode {
    return new SimulatedNode(name, new SimulatedDisk(this.base, this.random), this.#createTimer());
  }

  #createTimer(): SimulatedTimer {
    const spread = this.#options.clockRateSpread ?? 0;
    const rate = 1 + this.random.between(-spread, spread);
    const origin = this.random.below(MAX_ORIGIN_MS);
    return new SimulatedTimer(this.base, rate, origin, this.random.below(MAX_ORIGIN_MS));
  }

  #attach(node: SimulatedNode, replica: Replica): void {
    node.replica = replica;
    node.lastIncarnation = replica.status.identity.incarnation;
    replica.onMembership = (membership) => {
      const { appliedIndex } = replica.status;
      if (appliedIndex <= this.#committedAt) return;
      this.#committedAt = appliedIndex;
      this.committedVoters = membership.outgoing ? [] : voters(membership);
    };
    replica.onApplied = (index, command) => this.onApplied(node, index, command);
  }
}

/** Lets all promises settle that need no time to pass. */
export function drain(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}
