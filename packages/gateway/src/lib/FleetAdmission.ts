import {
  PrefillCapacity,
  Shortage,
  admissiblePerS,
  divideAdmission,
  excessMs,
  type AdmittedFraction,
} from '@berylwood/policy';
import {
  MAX_RANKS,
  REST,
  type AdmissionReport,
  type AdmissionUpdate,
  type DemandMessage,
} from './admissionMessages';
import type { PoolName } from './ids';
import { mergeDemands } from './mergeDemands';

/** Time for which a report is used, in milliseconds. */
const VALID_MS = 1000;

/** Excess of a queue that a message can state, in milliseconds. */
const MAX_EXCESS_MS = 600_000;

/** State of a pool for which admission is decided. @internal */
export interface AdmissionPool {
  readonly name: PoolName;
  /** Engines in service. */
  readonly engines: number;
  /** Prompt tokens of all instances that wait for prefill. */
  readonly queuedTokens: number;
  /** Tokens per second that the engines prefill by their learnt speed. */
  readonly priorPerS: number;
  /** Objective of the least urgent route, in milliseconds. */
  readonly objectiveMs: number;
}

/** What is decided about a pool, with the inputs. @internal */
export interface AdmissionDecision {
  /** Undefined without a shortage. */
  readonly update: AdmissionUpdate | undefined;
  readonly capacityPerS: number;
  readonly askedPerS: number;
  readonly admittedPerS: number;
  readonly servedPerS: number;
  readonly queuedTokens: number;
  readonly workspaces: number;
  readonly lowestFraction: number;
}

interface PoolState {
  readonly capacity: PrefillCapacity;
  readonly shortage: Shortage;
}

const sumOf = (demands: readonly DemandMessage[], at: 2 | 3 | 4 | 5): number =>
  demands.reduce((sum, demand) => sum + demand[at], 0);

const roundFraction = (fraction: number): number => Math.round(fraction * 1e4) / 1e4;

/** With unnamed workspaces, all named ones are listed, as the others are recognized by their absence. */
function composeFractions(fractions: readonly AdmittedFraction[]): AdmissionUpdate[2] {
  const ranks = [...new Set(fractions.map(({ rank }) => rank))].sort((a, b) => a - b);
  const lists = ranks.map((rank): AdmissionUpdate[2][number] => {
    const ranked = fractions.filter((fraction) => fraction.rank === rank);
    const rest = ranked.find(({ workspace }) => workspace === REST);
    const listed = ranked.filter(
      ({ workspace, first, returning }) =>
        workspace !== REST && (rest !== undefined || first < 1 || returning < 1),
    );
    return [
      rank,
      roundFraction(rest?.first ?? 1),
      roundFraction(rest?.returning ?? 1),
      listed.map(({ workspace, first, returning }) => [
        workspace,
        roundFraction(first),
        roundFraction(returning),
      ]),
    ];
  });
  const isBelowOne = ([, first, returning, listed]: AdmissionUpdate[2][number]): boolean =>
    first < 1 || returning < 1 || listed.length > 0;
  return lists.filter(isBelowOne).slice(-MAX_RANKS);
}

/** The demand of all instances and the admitted fractions that follow from it, on the leader. @internal */
export class FleetAdmission {
  readonly #instances = new Map<string, { readonly reports: AdmissionReport[]; at: number }>();

  readonly #pools = new Map<PoolName, PoolState>();

  /** Records the report of an instance. */
  report(instance: string, reports: AdmissionReport[], now: number): void {
    this.#instances.set(instance, { reports, at: now });
  }

  /** Forgets reports that are no longer valid, and pools that are not in the configuration. */
  prune(pools: ReadonlySet<PoolName>, now: number): void {
    for (const [instance, { at }] of this.#instances) {
      if (now - at >= VALID_MS) this.#instances.delete(instance);
    }
    for (const name of this.#pools.keys()) if (!pools.has(name)) this.#pools.delete(name);
  }

  /** Forgets all instances, as this one no longer leads. */
  clear(): void {
    this.#instances.clear();
    this.#pools.clear();
  }

  /** Decides about a pool; a new leader goes on with a shortage that the one before it stated. */
  decide(
    pool: AdmissionPool,
    own: AdmissionReport,
    wasShort: boolean,
    now: number,
  ): AdmissionDecision {
    const { name, engines, queuedTokens, priorPerS, objectiveMs } = pool;
    const state = this.#pools.get(name) ?? {
      capacity: new PrefillCapacity(),
      shortage: new Shortage(wasShort),
    };
    this.#pools.set(name, state);
    const demands = mergeDemands([...own[1], ...this.#demandsOf(name)]);
    const servedPerS = sumOf(demands, 5);
    state.capacity.update({ engines, queuedTokens, servedPerS, priorPerS }, now);
    const capacityPerS = state.capacity.tokensPerS;
    const askedPerS = sumOf(demands, 2) + sumOf(demands, 3);
    const input = { capacityPerS, askedPerS, queuedTokens, objectiveMs };
    const isShort = state.shortage.update(input, now);
    const fractions = isShort
      ? divideAdmission(
          demands.map(([rank, workspace, firstPerS, returnPerS, , , weight]) => ({
            ...{ rank, workspace, firstPerS, returnPerS, weight },
          })),
          { capacityPerS, admissiblePerS: admissiblePerS(input) },
        )
      : [];
    const excess = Math.round(Math.max(-MAX_EXCESS_MS, Math.min(MAX_EXCESS_MS, excessMs(input))));
    return {
      update: isShort ? [name, excess, composeFractions(fractions)] : undefined,
      ...{ capacityPerS, askedPerS, servedPerS, queuedTokens },
      admittedPerS: sumOf(demands, 4),
      workspaces: new Set(demands.map(([, workspace]) => workspace)).size,
      lowestFraction: Math.min(1, ...fractions.map(({ first }) => first)),
    };
  }

  #demandsOf(name: PoolName): DemandMessage[] {
    return [...this.#instances.values()].flatMap(({ reports }) =>
      reports.flatMap(([pool, demands]) => (pool === name ? demands : [])),
    );
  }
}
