import type { Random } from '@berylwood/base';
import { PermitAllocator, type PermitDemand } from '@berylwood/policy';
import { MAX_ENDPOINTS, type PermitReport, type SharedStatement } from './permitMessages';

/** Time for which a report is used, in milliseconds: a few intervals of a large fleet. */
const VALID_MS = 1000;

/** Key of this instance among those that demand permits. */
const OWN = '';

/** What this instance, the leader, has and wants for an endpoint with a limit. @internal */
export interface LimitedEndpoint {
  readonly key: string;
  readonly requestsPerS: number;
  /** Whether the limit holds in every second, not only over several. */
  readonly isStrict: boolean;
  /** By rank, the permits that this instance wants. */
  readonly wanted: readonly number[];
  /** Permits of this instance that have expired unused. */
  readonly returned: number;
  /** Called with the permits of this instance. */
  readonly onGranted: (count: number) => void;
}

interface ReportingInstance {
  /** By endpoint, the permits wanted by rank; empty once they were considered. */
  wanted: ReadonlyMap<string, readonly number[]>;
  readonly statements: readonly SharedStatement[];
  readonly reportedAt: number;
  /** By endpoint, permits that are not sent yet. */
  readonly granted: Map<string, number>;
}

/** The demand of all instances and the permits allocated to them, on the leader. @internal */
export class FleetPermits {
  readonly #random: Random;

  /** By endpoint. */
  readonly #allocators = new Map<string, PermitAllocator>();

  /** By the address of the instance. */
  readonly #instances = new Map<string, ReportingInstance>();

  constructor(random: Random) {
    this.#random = random;
  }

  /** Records the report of an instance. */
  report(instance: string, { statements, demands }: PermitReport, now: number): void {
    for (const [key, , returned] of demands) this.#allocators.get(key)?.return(returned, now);
    this.#instances.set(instance, {
      wanted: new Map(demands.map(([key, wanted]) => [key, wanted])),
      statements,
      reportedAt: now,
      granted: this.#instances.get(instance)?.granted ?? new Map<string, number>(),
    });
  }

  /** Statements of the latest report of an instance. */
  statementsOf(instance: string): readonly SharedStatement[] {
    return this.#instances.get(instance)?.statements ?? [];
  }

  /** Allocates the permits of one round for all endpoints that have a limit. */
  allocate(limited: readonly LimitedEndpoint[], now: number): void {
    for (const [instance, { reportedAt }] of this.#instances) {
      if (now - reportedAt >= VALID_MS) this.#instances.delete(instance);
    }
    const keys = new Set(limited.map(({ key }) => key));
    for (const key of this.#allocators.keys()) if (!keys.has(key)) this.#allocators.delete(key);
    for (const endpoint of limited) this.#allocateFor(endpoint, now);
    for (const state of this.#instances.values()) state.wanted = new Map();
  }

  /** Removes and returns the permits granted to an instance, by endpoint. */
  takeGrants(instance: string): [string, number][] {
    const granted = this.#instances.get(instance)?.granted ?? new Map<string, number>();
    const grants = [...granted].slice(0, MAX_ENDPOINTS);
    granted.clear();
    return grants;
  }

  /** Forgets all instances, as this one no longer leads. */
  clear(): void {
    this.#allocators.clear();
    this.#instances.clear();
  }

  #allocateFor(
    { key, requestsPerS, isStrict, wanted: ownWanted, returned, onGranted }: LimitedEndpoint,
    now: number,
  ): void {
    const allocator = this.#allocators.get(key) ?? new PermitAllocator(now);
    this.#allocators.set(key, allocator);
    allocator.setRate(requestsPerS, now, isStrict);
    allocator.return(returned, now);
    const demands: PermitDemand<string>[] = [{ source: OWN, wanted: ownWanted }];
    for (const [source, { wanted }] of this.#instances) {
      demands.push({ source, wanted: wanted.get(key) ?? [] });
    }
    for (const [source, count] of allocator.allocate(demands, now, this.#random)) {
      const granted = this.#instances.get(source)?.granted;
      if (granted) granted.set(key, (granted.get(key) ?? 0) + count);
      else onGranted(count);
    }
  }
}
