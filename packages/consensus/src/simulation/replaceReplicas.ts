import { AdmissionPolicy } from '../lib/AdmissionPolicy';
import { MembershipKeeper } from '../lib/MembershipKeeper';
import type { Replica } from '../lib/Replica';
import { Invariants } from './Invariants';
import { SimulatedCluster, type SimulatedNode } from './SimulatedCluster';
import { Workload } from './Workload';

/** One random schedule of replaced replicas and lost disks. */
export interface Replacement {
  readonly seed: number;
  /** Number of voters: 3 bears one loss at a time, 5 bear two. */
  readonly voters: 3 | 5;
}

/** Times of a registry and of the machines that it runs on, in milliseconds. */
const TIMES = { heartbeatMs: 150, leaseMs: 900, electionTimeoutMs: 1000 };
const LIMITS = { replaceAfterMs: 1000, removeAfterMs: 120_000 };
const CHECK_INTERVAL_MS = 200;

/** Time that a machine counts as lost after it is back, or after its start if it is new. */
const CATCH_UP_MS = 4000;

/** Longest time for which a stop waits until another replica has its vote. */
const HAND_OVER_MS = 6000;

const FORMATION_MS = 20_000;
const RECOVERY_MS = 12_000;
const MAX_DOWN_MS = 2000;
const MAX_PAUSE_MS = 6000;
const STEPS = 5;
const POLL_MS = 50;

/** Admits every replica as a learner, as the registry does. */
class AdmitAsLearner extends AdmissionPolicy {
  override admit(): 'learner' {
    return 'learner';
  }
}

/** Runs one schedule; losses occur at any moment at which the tolerance allows another one. */
class ReplacementRun {
  readonly cluster: SimulatedCluster;

  readonly workload: Workload;

  readonly invariants: Invariants;

  readonly #tolerance: number;

  readonly #voters: number;

  /** A machine has another replica after each start. */
  readonly #keepers = new WeakMap<Replica, MembershipKeeper>();

  readonly #leaving = new Set<SimulatedNode>();

  /** By machine, the time until which it counts as lost; `Infinity` while it is down. */
  readonly #lostUntil = new Map<string, number>();

  /** What was done, and the changes of the membership, each with its time. */
  readonly trace: string[] = [];

  #running: SimulatedNode[];

  #added = 0;

  constructor({ seed, voters }: Replacement) {
    const names = ['a', 'b', 'c', 'd', 'e'].slice(0, voters);
    const replica = { ...TIMES, admission: new AdmitAsLearner() };
    this.cluster = new SimulatedCluster({ seed, names, replica });
    this.workload = new Workload(this.cluster);
    this.invariants = new Invariants(this.cluster, this.workload);
    this.cluster.onStep = () => this.invariants.check();
    this.#tolerance = (voters - 1) / 2;
    this.#voters = voters;
    this.#running = [...this.cluster.nodes];
  }

  async run(): Promise<void> {
    const { cluster } = this;
    await cluster.startAll();
    cluster.base.every(CHECK_INTERVAL_MS, () => this.#checkMemberships());
    const isFormed = (): boolean => cluster.committedVoters.length === this.#voters;
    if (!(await cluster.runUntil(isFormed, FORMATION_MS))) this.#fail('the group did not form');
    this.workload.start(1);
    const steps: Promise<void>[] = [];
    for (let step = 0; step < STEPS; step += 1) {
      await cluster.run(cluster.random.between(0, MAX_PAUSE_MS));
      await this.#awaitRoom();
      steps.push(this.#step());
      await cluster.run(0);
    }
    let isOver = false;
    Promise.all(steps).then(() => {
      isOver = true;
    }, this.#fail);
    await cluster.runUntil(() => isOver, STEPS * RECOVERY_MS);
    await this.#checkRecovery();
  }

  #log(line: string): void {
    this.trace.push(`${Math.round(this.cluster.base.now())} ms: ${line}`);
  }

  readonly #fail = (problem: unknown): void => {
    this.invariants.violations.add(String(problem));
  };

  /** One loss: a planned or unplanned replacement of a machine, or a lost disk. */
  #step(): Promise<void> {
    const { random, base } = this.cluster;
    const now = base.now();
    const candidates = this.#running.filter((node) => (this.#lostUntil.get(node.name) ?? 0) <= now);
    const node = random.pick(candidates);
    const kind = random.pick(['planned', 'unplanned', 'disk'] as const);
    this.#log(`${kind} loss of ${node.name}`);
    if (kind === 'disk') return this.#loseDisk(node);
    return kind === 'planned' ? this.#replacePlanned(node) : this.#replaceLost(node);
  }

  async #loseDisk(node: SimulatedNode): Promise<void> {
    const { base, random } = this.cluster;
    this.#lostUntil.set(node.name, Infinity);
    this.cluster.crash(node);
    node.disk.wipe();
    await base.sleep(random.between(100, MAX_DOWN_MS));
    this.#start(node);
  }

  async #replaceLost(node: SimulatedNode): Promise<void> {
    const { base, random } = this.cluster;
    this.#lostUntil.set(node.name, Infinity);
    this.#remove(node);
    await base.sleep(random.between(0, MAX_DOWN_MS));
    const successor = this.#add();
    this.#start(successor);
    // The lost machine stops counting at the same moment as its successor.
    this.#lostUntil.delete(node.name);
  }

  async #replacePlanned(node: SimulatedNode): Promise<void> {
    const { base } = this.cluster;
    this.#running = this.#running.filter((item) => item !== node);
    this.#start(this.#add());
    await base.sleep(CATCH_UP_MS);
    this.#log(`${node.name} stops`);
    this.#leaving.add(node);
    const endsAt = base.now() + HAND_OVER_MS;
    while (this.#hasVote(node) && base.now() < endsAt) {
      if (node.replica?.holdsLease) node.replica.transferLeadership().catch(this.#fail);
      await base.sleep(POLL_MS);
    }
    this.#leaving.delete(node);
    this.#remove(node);
  }

  #hasVote({ replica }: SimulatedNode): boolean {
    const { identity, settledMembership } = replica?.status ?? {};
    return (settledMembership?.members ?? []).some(
      ({ incarnation, kind }) => incarnation === identity?.incarnation && kind === 'voter',
    );
  }

  #add(): SimulatedNode {
    this.#added += 1;
    const node = this.cluster.add(`n${this.#added}`);
    this.#running = [...this.#running, node];
    return node;
  }

  #start(node: SimulatedNode): void {
    const { base } = this.cluster;
    this.#log(`${node.name} starts`);
    node.seeds = this.#running.filter((item) => item !== node).map(({ name }) => name);
    this.#lostUntil.set(node.name, base.now() + CATCH_UP_MS);
    this.cluster.start(node).catch(this.#fail);
  }

  /** Ends a machine for good. */
  #remove(node: SimulatedNode): void {
    this.#log(`${node.name} ends`);
    this.#running = this.#running.filter((item) => item !== node);
    this.cluster.crash(node);
  }

  /** Waits until the tolerance allows another loss. */
  async #awaitRoom(): Promise<void> {
    const hasRoom = (): boolean => {
      const now = this.cluster.base.now();
      const lost = [...this.#lostUntil.values()].filter((until) => until > now).length;
      return lost < this.#tolerance;
    };
    const isMet = await this.cluster.runUntil(hasRoom, STEPS * RECOVERY_MS);
    if (!isMet) this.#fail('the losses do not end');
  }

  #checkMemberships(): void {
    for (const node of this.cluster.nodes) {
      const replica = node.active;
      if (!replica) continue;
      const keeper = this.#keepers.get(replica) ?? this.#createKeeper(node, replica);
      for (const { name } of this.#leaving) keeper.setLeaving(name, true);
      keeper.check();
    }
  }

  #createKeeper(node: SimulatedNode, replica: Replica): MembershipKeeper {
    const { timer } = node;
    const keeper = new MembershipKeeper({
      replica,
      timer,
      target: this.#voters,
      limits: LIMITS,
      onPlanned: (step, members) => {
        const kinds = members.map(({ replica: name, kind }) => `${name} ${kind}`).join(', ');
        this.#log(`${node.name}: ${step.change} ${step.replica} of ${kinds}`);
      },
      onRefused: (step, { message }) => this.#log(`${step.change} ${step.replica}: ${message}`),
    });
    this.#keepers.set(replica, keeper);
    return keeper;
  }

  /** The group accepts and reads back a write, has all votes, and can still replace a member. */
  async #checkRecovery(): Promise<void> {
    const { cluster, workload, invariants } = this;
    const before = workload.acknowledged.size;
    const isWritten = (): boolean => workload.acknowledged.size > before + 2;
    if (!(await cluster.runUntil(isWritten, RECOVERY_MS))) this.#fail('no write is acknowledged');
    const isWhole = (): boolean => cluster.committedVoters.length === this.#voters;
    if (!(await cluster.runUntil(isWhole, RECOVERY_MS))) this.#fail('votes are missing');
    let isReplaced = false;
    this.#replacePlanned(cluster.random.pick(this.#running)).then(() => {
      isReplaced = true;
    }, this.#fail);
    if (!(await cluster.runUntil(() => isReplaced && isWhole(), 2 * RECOVERY_MS)))
      this.#fail('the group cannot replace a member');
    workload.stop();
    invariants.checkHistory();
  }
}

/** What a schedule came to. */
export interface ReplacementFinding {
  readonly violations: readonly string[];
  /** What was done, one line each; empty if nothing was violated. */
  readonly trace: readonly string[];
}

/** Runs a schedule of planned and unplanned replacements and lost disks. */
export async function replaceReplicas(replacement: Replacement): Promise<ReplacementFinding> {
  const run = new ReplacementRun(replacement);
  await run.run();
  const violations = [...run.invariants.violations];
  return { violations, trace: violations.length > 0 ? run.trace : [] };
}
