import { AdmissionPolicy } from '../lib/AdmissionPolicy';
import { groupTimes } from '../lib/groupTimes';
import type { ReplicaName } from '../lib/ids';
import { MembershipKeeper } from '../lib/MembershipKeeper';
import { mustAwaitHandOver } from '../lib/mustAwaitHandOver';
import type { Replica } from '../lib/Replica';
import { Invariants } from './Invariants';
import { SimulatedCluster, type SimulatedNode } from './SimulatedCluster';
import { Workload } from './Workload';

/** Time that a machine counts as lost after it is back, or after its start if it is new. */
export const CATCH_UP_MS = 4000;

/** Longest time for which a stop waits until another replica has its vote. */
const HAND_OVER_MS = 6000;

const FORMATION_MS = 20_000;

/** Time after the last loss within which everything works again. */
export const RECOVERY_MS = 12_000;

/** Size and random seed of a group whose replicas are replaced. */
export interface ReplacedGroupOptions {
  readonly seed: number;
  /** Number of voters: 3 bears one loss at a time, 5 bear two. */
  readonly voters: 3 | 5;
  /** Time that each sync takes longer once the group is formed, in milliseconds; 0 by default. */
  readonly syncMs?: number;
  /** Time from the start of a machine until its process runs, in milliseconds; 0 by default. */
  readonly startMs?: number;
}

/** Admits every replica as a learner, and gives no vote to one that stops, as the registry does. */
class AdmitAsLearner extends AdmissionPolicy {
  readonly #isLeaving: (name: string) => boolean;

  constructor(isLeaving: (name: string) => boolean) {
    super();
    this.#isLeaving = isLeaving;
  }

  override admit(): 'learner' {
    return 'learner';
  }

  override mayVote(replica: ReplicaName): boolean {
    return !this.#isLeaving(replica);
  }
}

/** A group with the times of the registry, whose machines are replaced or lose their disks. */
export class ReplacedGroup {
  readonly cluster: SimulatedCluster;

  readonly workload: Workload;

  readonly invariants: Invariants;

  /** What was done, and the changes of the membership, each with its time. */
  readonly trace: string[] = [];

  /** Number of changes of the membership that leaders have planned. */
  changes = 0;

  /** Machines that are there and stay. */
  running: SimulatedNode[];

  readonly #voters: number;

  readonly #syncMs: number;

  readonly #startMs: number;

  /** A machine has another replica after each start. */
  readonly #keepers = new WeakMap<Replica, MembershipKeeper>();

  readonly #leaving = new Set<SimulatedNode>();

  /** By machine, the time until which it counts as lost; `Infinity` while it is down. */
  readonly #lostUntil = new Map<string, number>();

  #added = 0;

  constructor({ seed, voters, syncMs = 0, startMs = 0 }: ReplacedGroupOptions) {
    const names = ['a', 'b', 'c', 'd', 'e'].slice(0, voters);
    const { heartbeatMs, leaseMs, electionTimeoutMs } = groupTimes;
    const admission = new AdmitAsLearner((name) =>
      [...this.#leaving].some((node) => node.name === name),
    );
    const replica = { heartbeatMs, leaseMs, electionTimeoutMs, admission };
    this.cluster = new SimulatedCluster({ seed, names, replica });
    this.workload = new Workload(this.cluster);
    this.invariants = new Invariants(this.cluster, this.workload);
    this.cluster.onStep = () => this.invariants.check();
    this.#voters = voters;
    this.#syncMs = syncMs;
    this.#startMs = startMs;
    this.running = [...this.cluster.nodes];
  }

  /** Number of machines that may be lost at the same time. */
  get tolerance(): number {
    return (this.#voters - 1) / 2;
  }

  /** Number of machines that count as lost. */
  get lostCount(): number {
    const now = this.cluster.base.now();
    return [...this.#lostUntil.values()].filter((until) => until > now).length;
  }

  /** Starts all machines, waits until all of them vote, and starts the workload. */
  async form(): Promise<void> {
    const { cluster } = this;
    await cluster.startAll();
    cluster.base.every(groupTimes.checkIntervalMs, () => this.#checkMemberships());
    const isFormed = (): boolean => cluster.committedVoters.length === this.#voters;
    if (!(await cluster.runUntil(isFormed, FORMATION_MS))) this.fail('the group did not form');
    for (const { disk } of cluster.nodes) disk.slownessMs = this.#syncMs;
    this.workload.start(1);
  }

  log(line: string): void {
    this.trace.push(`${Math.round(this.cluster.base.now())} ms: ${line}`);
  }

  readonly fail = (problem: unknown): void => {
    this.invariants.violations.add(String(problem));
  };

  countsAsLost(node: SimulatedNode): boolean {
    return (this.#lostUntil.get(node.name) ?? 0) > this.cluster.base.now();
  }

  /** Takes a machine down, which returns with an empty disk. */
  async loseDisk(node: SimulatedNode, downMs: number): Promise<void> {
    this.#lostUntil.set(node.name, Infinity);
    this.cluster.crash(node);
    node.disk.wipe();
    await this.cluster.base.sleep(downMs);
    this.#start(node);
  }

  /** Freezes a machine for a time. */
  async freeze(node: SimulatedNode, durationMs: number): Promise<void> {
    const { base } = this.cluster;
    const { timer } = node;
    this.#lostUntil.set(node.name, Infinity);
    timer.freeze();
    await base.sleep(durationMs);
    timer.thaw();
    this.#lostUntil.set(node.name, base.now() + CATCH_UP_MS);
  }

  /** Takes a machine away for good; another one starts after a delay. */
  async replaceLost(node: SimulatedNode, delayMs: number): Promise<void> {
    this.#lostUntil.set(node.name, Infinity);
    this.#remove(node);
    await this.cluster.base.sleep(delayMs);
    this.addMachine();
    // The lost machine stops counting at the same moment as its successor.
    this.#lostUntil.delete(node.name);
  }

  /** Starts the successor of a machine, and stops the machine once its successor has caught up. */
  async replacePlanned(node: SimulatedNode): Promise<void> {
    this.running = this.running.filter((item) => item !== node);
    this.addMachine();
    await this.cluster.base.sleep(CATCH_UP_MS);
    await this.stop(node);
  }

  /** Stops a machine for good after it has handed its vote over. */
  async stop(node: SimulatedNode): Promise<void> {
    const { base } = this.cluster;
    this.log(`${node.name} stops`);
    this.running = this.running.filter((item) => item !== node);
    this.#leaving.add(node);
    const endsAt = base.now() + HAND_OVER_MS;
    do {
      this.#keeperOf(node)?.leave().catch(this.fail);
      await base.sleep(groupTimes.leaveIntervalMs);
    } while (this.#mustAwaitHandOver(node) && base.now() < endsAt);
    this.#leaving.delete(node);
    this.#remove(node);
  }

  /** Starts a machine with an empty disk. */
  addMachine(): SimulatedNode {
    this.#added += 1;
    const node = this.cluster.add(`n${this.#added}`);
    node.disk.slownessMs = this.#syncMs;
    this.running = [...this.running, node];
    this.#start(node);
    return node;
  }

  /** The group accepts and reads back a write, has all votes, and can still replace a member. */
  async checkRecovery(): Promise<void> {
    const { cluster, workload, invariants } = this;
    const before = workload.acknowledged.size;
    const isWritten = (): boolean => workload.acknowledged.size > before + 2;
    if (!(await cluster.runUntil(isWritten, RECOVERY_MS))) this.fail('no write is acknowledged');
    const isWhole = (): boolean => cluster.committedVoters.length === this.#voters;
    if (!(await cluster.runUntil(isWhole, RECOVERY_MS))) this.fail('votes are missing');
    let isReplaced = false;
    this.replacePlanned(cluster.random.pick(this.running)).then(() => {
      isReplaced = true;
    }, this.fail);
    if (!(await cluster.runUntil(() => isReplaced && isWhole(), 2 * RECOVERY_MS)))
      this.fail('the group cannot replace a member');
    workload.stop();
    invariants.checkHistory();
  }

  #mustAwaitHandOver(node: SimulatedNode): boolean {
    const { replica } = node;
    if (!replica) return false;
    const { identity, settledMembership } = replica.status;
    const isConnected = (address: string): boolean =>
      this.cluster.nodes.some(({ name, active }) => name === address && active);
    return mustAwaitHandOver({
      members: settledMembership.members,
      own: identity.incarnation,
      target: this.#voters,
      isConnected,
      limits: groupTimes.limits,
      silenceMs: (incarnation) => replica.contactWith(incarnation).knownSilenceMs,
      isLeaving: (name) => this.#keeperOf(node)?.isLeaving(name) ?? false,
    });
  }

  #start(node: SimulatedNode): void {
    const { base } = this.cluster;
    this.log(`${node.name} starts`);
    node.seeds = this.running.filter((item) => item !== node).map(({ name }) => name);
    this.#lostUntil.set(node.name, base.now() + CATCH_UP_MS);
    if (this.#startMs === 0) this.#run(node);
    else base.after(this.#startMs, () => this.#run(node));
  }

  #run(node: SimulatedNode): void {
    if (this.running.includes(node)) this.cluster.start(node).catch(this.fail);
  }

  /** Ends a machine for good. */
  #remove(node: SimulatedNode): void {
    this.log(`${node.name} ends`);
    this.running = this.running.filter((item) => item !== node);
    this.cluster.crash(node);
  }

  #checkMemberships(): void {
    for (const node of this.cluster.nodes) {
      const keeper = this.#keeperOf(node);
      for (const { name } of this.#leaving) keeper?.setLeaving(name, true);
      keeper?.check();
    }
  }

  #keeperOf(node: SimulatedNode): MembershipKeeper | undefined {
    const replica = node.active;
    return replica && (this.#keepers.get(replica) ?? this.#createKeeper(node, replica));
  }

  #createKeeper(node: SimulatedNode, replica: Replica): MembershipKeeper {
    const { timer } = node;
    const keeper = new MembershipKeeper({
      replica,
      timer,
      target: this.#voters,
      limits: groupTimes.limits,
      onPlanned: (step, members) => {
        this.changes += 1;
        const kinds = members.map(({ replica: name, kind }) => `${name} ${kind}`).join(', ');
        this.log(`${node.name}: ${step.change} ${step.replica} of ${kinds}`);
      },
      onRefused: (step, { message }) => this.log(`${step.change} ${step.replica}: ${message}`),
    });
    this.#keepers.set(replica, keeper);
    return keeper;
  }
}
