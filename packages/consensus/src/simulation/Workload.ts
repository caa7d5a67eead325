import type { SimulatedCluster, SimulatedNode } from './SimulatedCluster';
import type { HistoryOperation } from './checkLinearizable';
import { encodeCommand } from './RegisterMachine';
import type { RegisterAction } from './registerSpecification';

/** Time after which a client gives an operation up without knowing its outcome. */
const PATIENCE_MS = 400;
const MEAN_PAUSE_MS = 30;
const RANDOM_TARGET_RATE = 0.15;

/** Concurrent clients that read and write the register, and the history of what they saw. */
export class Workload {
  /** Ids of commands of which a replica said that they have not run. */
  readonly refused = new Set<number>();

  /** Commands that were answered as applied. */
  readonly acknowledged = new Map<number, number>();

  readonly #cluster: SimulatedCluster;

  readonly #history: HistoryOperation<RegisterAction>[] = [];

  #clock = 0;

  #nextId = 1;

  #isStopped = false;

  constructor(cluster: SimulatedCluster) {
    this.#cluster = cluster;
  }

  get history(): readonly HistoryOperation<RegisterAction>[] {
    return this.#history;
  }

  start(clients: number): void {
    for (let i = 0; i < clients; i += 1) this.#pause();
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** One operation on a replica; the history takes in its outcome. */
  async operate(node: SimulatedNode, action: RegisterAction): Promise<void> {
    const id = this.#nextId;
    this.#nextId += 1;
    const position = this.#history.length;
    const started = { action, startedAt: this.#tick(), endedAt: Infinity, output: undefined };
    this.#history.push(started);
    const isWrite = action.type !== 'read';
    const outcome = isWrite ? this.#write(node, id, action) : this.#read(node);
    const given = await Promise.race([outcome, this.#cluster.base.sleep(PATIENCE_MS)]);
    const end = { action, startedAt: started.startedAt, endedAt: this.#tick() };
    // An operation that has not run, and a read without an answer, bind nothing.
    if (given === 'notRun')
      this.#history[position] = { ...end, action: { type: 'swap' }, output: undefined };
    else if (given !== undefined) this.#history[position] = { ...end, output: given };
  }

  async #write(
    node: SimulatedNode,
    id: number,
    action: RegisterAction,
  ): Promise<number | 'notRun'> {
    if (!node.replica) return 'notRun';
    const result = await node.replica.propose(encodeCommand({ id, action }));
    if (result.isOk()) {
      this.acknowledged.set(id, result.value.index);
      return Number(Buffer.from(result.value.result).toString());
    }
    // An unknown outcome is never answered: the client gives up in time.
    if (result.error.notRun !== true) return new Promise(() => {});
    this.refused.add(id);
    return 'notRun';
  }

  async #read(node: SimulatedNode): Promise<number | 'notRun'> {
    const { machine } = node;
    const result = await node.replica?.barrier();
    return result?.isOk() ? machine.value : 'notRun';
  }

  #pause(): void {
    const { base, random } = this.#cluster;
    base.after(Math.ceil(random.exponential(MEAN_PAUSE_MS)), () => {
      if (this.#isStopped) return;
      const node = this.#target();
      const done = node ? this.operate(node, this.#action()) : Promise.resolve();
      done.then(() => this.#pause()).catch(() => {});
    });
  }

  #target(): SimulatedNode | undefined {
    const { nodes, random } = this.#cluster;
    const active = nodes.filter((node) => node.active);
    if (active.length === 0) return undefined;
    if (random.next() < RANDOM_TARGET_RATE) return random.pick(active);
    const leaders = active.filter((node) => node.replica?.status.role === 'leader');
    return leaders.length > 0 ? random.pick(leaders) : undefined;
  }

  #action(): RegisterAction {
    const { random } = this.#cluster;
    const kind = random.below(10);
    if (kind < 4) return { type: 'read' };
    const value = this.#nextId;
    if (kind < 8) return { type: 'write', value };
    return { type: 'swap', value, expected: Math.max(0, value - 1 - random.below(3)) };
  }

  #tick(): number {
    this.#clock += 1;
    return this.#clock;
  }
}
