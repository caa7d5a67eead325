import { createReplicaName, type Incarnation, type ReplicaName } from '../lib/ids';
import type { SimulatedCluster, SimulatedNode } from './SimulatedCluster';

/** Kinds of fault, and how often each is chosen relative to the others. */
export type FaultWeights = Readonly<Record<FaultKind, number>>;

export type FaultKind =
  | 'crash'
  | 'crashLeader'
  | 'partition'
  | 'isolateLeader'
  | 'cutPair'
  | 'heal'
  | 'freeze'
  | 'transfer'
  | 'loseDisk'
  | 'damageDisk'
  | 'changeMembership'
  | 'changeQuality';

export const DEFAULT_WEIGHTS: FaultWeights = {
  crash: 4,
  crashLeader: 3,
  partition: 3,
  isolateLeader: 3,
  cutPair: 3,
  heal: 6,
  freeze: 3,
  transfer: 2,
  loseDisk: 3,
  damageDisk: 1,
  changeMembership: 2,
  changeQuality: 2,
};

const MEAN_PAUSE_MS = 120;
const MAX_DOWN_MS = 500;
const MAX_FROZEN_MS = 600;
const SPARE = createReplicaName('spare');

/** Brings about faults, but no more lost disks at a time than the group is made to survive. */
export class FaultInjector {
  readonly #cluster: SimulatedCluster;

  readonly #weights: FaultWeights;

  /** The replica whose disk was lost and is not repaired yet. */
  #lost: ReplicaName | undefined;

  #isStopped = false;

  constructor(cluster: SimulatedCluster, weights: FaultWeights) {
    this.#cluster = cluster;
    this.#weights = weights;
  }

  start(): void {
    const { base, random } = this.#cluster;
    base.after(Math.ceil(random.exponential(MEAN_PAUSE_MS)), () => {
      if (this.#isStopped) return;
      this.#inject(this.#choose());
      this.start();
    });
  }

  /** Ends the faults: everything is reachable and runs again. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    const { network, nodes } = this.#cluster;
    network.heal();
    network.quality = { lossRate: 0, duplicateRate: 0, minDelayMs: 1, maxDelayMs: 3 };
    await this.#cluster.run(MAX_FROZEN_MS + MAX_DOWN_MS);
    nodes.forEach((node) => {
      this.#restart(node).catch(() => {});
    });
  }

  #choose(): FaultKind {
    const entries = Object.entries(this.#weights) as [FaultKind, number][];
    let rest = this.#cluster.random.next() * entries.reduce((sum, [, weight]) => sum + weight, 0);
    for (const [kind, weight] of entries) {
      rest -= weight;
      if (rest < 0) return kind;
    }
    return 'heal';
  }

  #inject(kind: FaultKind): void {
    const { random, network, leader, nodes } = this.#cluster;
    const running = nodes.filter((node) => node.active);
    if (running.length === 0) return;
    const any = random.pick(running);
    const target = leader?.active ? leader : any;
    const faults: Record<FaultKind, () => void> = {
      crash: () => this.#crash(any),
      crashLeader: () => this.#crash(target),
      partition: () => this.#partition(),
      isolateLeader: () => this.#isolate(target),
      cutPair: () => network.partition([any.name], [random.pick(nodes).name], random.next() < 0.5),
      heal: () => network.heal(),
      freeze: () => this.#freeze(random.next() < 0.5 ? target : any),
      transfer: () => {
        target.replica?.transferLeadership().catch(() => {});
      },
      loseDisk: () => this.#loseDisk(any),
      damageDisk: () => this.#damageDisk(any),
      changeMembership: () => this.#changeMembership(target),
      changeQuality: () => this.#changeQuality(),
    };
    faults[kind]();
  }

  #crash(node: SimulatedNode): void {
    this.#cluster.crash(node);
    this.#restartLater(node);
  }

  #restartLater(node: SimulatedNode): void {
    const { base, random } = this.#cluster;
    base.after(1 + random.below(MAX_DOWN_MS), () => {
      this.#restart(node).catch(() => {});
    });
  }

  async #restart(node: SimulatedNode): Promise<void> {
    if (node.replica || node.isStarting) return;
    await this.#cluster.start(node);
    if (node.refusal === 'logDamaged') {
      node.disk.wipe();
      await this.#cluster.start(node);
    }
  }

  #partition(): void {
    const { random, network, nodes } = this.#cluster;
    const side = nodes.filter(() => random.next() < 0.5).map(({ name }) => name);
    const other = nodes.map(({ name }) => name).filter((name) => !side.includes(name));
    network.partition(side, other, random.next() < 0.25);
  }

  #isolate(node: SimulatedNode): void {
    const others = this.#cluster.nodes.map(({ name }) => name).filter((name) => name !== node.name);
    this.#cluster.network.partition([node.name], others);
  }

  #freeze(node: SimulatedNode): void {
    const { base, random } = this.#cluster;
    const { timer } = node;
    const durationMs = 1 + random.below(MAX_FROZEN_MS);
    const suspendedMs = random.next() < 0.5 ? durationMs : 0;
    timer.freeze();
    base.after(durationMs, () => timer.thaw(suspendedMs));
  }

  #loseDisk(node: SimulatedNode): void {
    if (!this.#mayLose(node)) return;
    this.#lost = node.name;
    this.#cluster.crash(node);
    node.disk.wipe();
    this.#restartLater(node);
  }

  #damageDisk(node: SimulatedNode): void {
    if (!this.#mayLose(node)) return;
    this.#cluster.crash(node);
    if (node.disk.flip()) this.#lost = node.name;
    this.#restartLater(node);
  }

  /** Whether all three founders vote with the disks that they have. */
  #mayLose(node: SimulatedNode): boolean {
    const { committedVoters, nodes } = this.#cluster;
    if (node.name === SPARE || committedVoters.length < 3) return false;
    if (this.#lost) {
      const lost = nodes.find(({ name }) => name === this.#lost);
      const now = lost?.replica?.status.identity.incarnation;
      const isRepaired = committedVoters.some((item: Incarnation) => item === now);
      if (!isRepaired) return false;
      this.#lost = undefined;
    }
    return committedVoters.includes(node.lastIncarnation as Incarnation);
  }

  /** Adds a spare replica to the group, or removes it. */
  #changeMembership(leader: SimulatedNode): void {
    const { nodes } = this.#cluster;
    const spare = nodes.find(({ name }) => name === SPARE) ?? this.#cluster.add(SPARE);
    const others = nodes.filter((node) => node !== spare);
    const isMember = others.some((node) =>
      node.replica?.status.membership.members.some(({ replica }) => replica === SPARE),
    );
    if (isMember) leader.replica?.removeReplica(SPARE).catch(() => {});
    else if (others.every((node) => node.replica)) {
      this.#cluster.crash(spare);
      spare.disk.wipe();
      leader.replica?.addReplica(SPARE).catch(() => {});
      this.#restartLater(spare);
    }
  }

  #changeQuality(): void {
    const { random, network } = this.#cluster;
    const isGood = random.next() < 0.4;
    network.quality = {
      lossRate: isGood ? 0 : random.next() * 0.2,
      duplicateRate: isGood ? 0 : random.next() * 0.2,
      minDelayMs: 1,
      maxDelayMs: isGood ? 3 : 1 + random.below(40),
    };
  }
}
