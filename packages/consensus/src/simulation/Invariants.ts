import { checkLinearizable } from './checkLinearizable';
import { decodeCommand } from './RegisterMachine';
import { registerSpecification } from './registerSpecification';
import type { SimulatedCluster } from './SimulatedCluster';
import type { Workload } from './Workload';

/** What must hold at each moment of a run, and what is found to be violated. */
export class Invariants {
  readonly violations = new Set<string>();

  readonly #cluster: SimulatedCluster;

  readonly #workload: Workload;

  /** Ids of the commands applied at each index. */
  readonly #applied = new Map<number, number>();

  readonly #leaders = new Map<number, string>();

  constructor(cluster: SimulatedCluster, workload: Workload) {
    this.#cluster = cluster;
    this.#workload = workload;
    cluster.onApplied = (_node, index, command) => this.#onApplied(index, command);
  }

  /** Looks at the replicas between two events. */
  check(): void {
    const holders: string[] = [];
    for (const { name, replica } of this.#cluster.nodes) {
      if (!replica) continue;
      if (replica.holdsLease) holders.push(name);
      const { role, term, identity, failure } = replica.status;
      if (failure) this.violations.add(`${name} stopped: ${failure.message}`);
      if (role !== 'leader') continue;
      const known = this.#leaders.get(term) ?? identity.incarnation;
      this.#leaders.set(term, known);
      if (known !== identity.incarnation) this.violations.add('two leaders in one term');
    }
    if (holders.length > 1) this.violations.add('two replicas hold the lease');
  }

  /** Looks at the whole history after a run. */
  checkHistory(): void {
    const ids = new Set(this.#applied.values());
    for (const [id, index] of this.#workload.acknowledged) {
      if (this.#applied.get(index) !== id) this.violations.add('an acknowledged command was lost');
    }
    for (const id of this.#workload.refused) {
      if (ids.has(id)) this.violations.add('a command was applied that was said not to have run');
    }
    if (!checkLinearizable(this.#workload.history, registerSpecification)) {
      this.violations.add('the history is not linearizable');
    }
  }

  #onApplied(index: number, command: Uint8Array): void {
    const { id } = decodeCommand(command);
    const known = this.#applied.get(index) ?? id;
    this.#applied.set(index, known);
    if (known !== id) this.violations.add('replicas applied different commands at one index');
  }
}
