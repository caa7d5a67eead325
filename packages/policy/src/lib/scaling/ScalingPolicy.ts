import { asId } from '@berylwood/base';
import type { DataCentreId, Zone } from '@berylwood/schema';
import { marginalWorth, tokensOf } from './marginalWorth';
import type {
  ClassDemand,
  ScaledEndpoint,
  ScalingDecision,
  ScalingInput,
  ScalingOptions,
} from './ScalingTypes';
import { Trend } from './Trend';
import { selectStart, selectStop } from './selectZone';

const defaults: Required<ScalingOptions> = {
  utilization: 0.7,
  startAfterMs: 5_000,
  stopAfterMs: 180_000,
  minimumRunMs: 600_000,
  startUpMs: 60_000,
  startRatio: 1.2,
  stopRatio: 0.8,
};

/** Memory of one model. */
interface ModelState {
  /** Requests a second by class. */
  readonly trends: Map<string, Trend>;
  /** Since when more, or less, has been wanted; undefined when it is not. */
  moreSince: number | undefined;
  lessSince: number | undefined;
}

/** How many endpoints are wanted, with hysteresis between the two numbers. */
interface Wanted {
  readonly atLeast: number;
  readonly atMost: number;
}

/**
 * Starts an endpoint while the service that would be missed without it is worth more than its
 * price, and drains one when it is worth clearly less. The top tier must fit into what is left when
 * the largest zone is lost. Demand is forecast over the start-up time; hysteresis in time and worth
 * and a minimum running time keep it from switching on every change.
 * @public
 */
export class ScalingPolicy {
  readonly #options: Required<ScalingOptions>;

  readonly #models = new Map<string, ModelState>();

  constructor(options: ScalingOptions = {}) {
    this.#options = { ...defaults, ...options };
  }

  /** Decisions for one model; called every few seconds. */
  decide(input: ScalingInput, now: number): ScalingDecision[] {
    const state = this.#stateOf(input.model);
    const demands = this.#forecast(state, input.demands, now);
    const stops = input.endpoints
      .filter(({ state: phase, load }) => phase === 'draining' && load === 0)
      .map(({ endpoint }) => ({ type: 'stop', endpoint }) as const);
    const active = input.endpoints.filter(({ state: phase }) => phase !== 'draining');
    const wanted = this.#wanted(input, demands);
    const capacity = this.#options.utilization * input.tokensPerSecond;
    const spare = topTierEndpoints(demands, capacity);
    const isExposed = input.zones.length > 1 && !survivesLoss(active, spare);
    const needsMore = active.length < wanted.atLeast || isExposed;
    // What could be stopped must stay so for the whole time, also as to the loss of a zone.
    const excess =
      active.length > wanted.atMost ? this.#excess(input, active, spare, now) : undefined;
    state.moreSince = needsMore ? (state.moreSince ?? now) : undefined;
    state.lessSince = excess ? (state.lessSince ?? now) : undefined;
    const isDue =
      state.lessSince !== undefined && now - state.lessSince >= this.#options.stopAfterMs;
    const starts = this.#start(input, active, wanted.atLeast, state, now);
    if (!excess || !isDue) return [...stops, ...starts];
    return [...stops, ...starts, { type: 'drain', endpoint: excess.endpoint }];
  }

  /** Brings draining endpoints back first, then starts new ones, as many as are missing. */
  #start(
    input: ScalingInput,
    active: readonly ScaledEndpoint[],
    wanted: number,
    state: ModelState,
    now: number,
  ): ScalingDecision[] {
    const isDue =
      state.moreSince !== undefined && now - state.moreSince >= this.#options.startAfterMs;
    const decisions: ScalingDecision[] = [];
    const counted = [...active];
    const missing = isDue ? Math.max(1, wanted - active.length) : 0;
    for (;;) {
      const belowMinimum = input.zones.find((zone) => countIn(counted, zone) < zone.minimum);
      const zone =
        belowMinimum ??
        (decisions.length < missing ? selectStart(input.zones, counted) : undefined);
      if (!zone) return decisions;
      const draining = input.endpoints.find((endpoint) => {
        const isBack = counted.includes(endpoint);
        return (
          endpoint.state === 'draining' && endpoint.load > 0 && !isBack && isIn(endpoint, zone)
        );
      });
      const dataCentre = zone.dataCentre as DataCentreId;
      counted.push(draining ?? createPlanned(dataCentre, now));
      if (draining) decisions.push({ type: 'resume', endpoint: draining.endpoint });
      else decisions.push({ type: 'start', model: input.model, dataCentre });
    }
  }

  /** An endpoint that has run long enough and can be spared. */
  #excess(
    input: ScalingInput,
    active: readonly ScaledEndpoint[],
    spare: number,
    now: number,
  ): ScaledEndpoint | undefined {
    const old = active.filter(
      ({ state, startedAt }) =>
        state === 'running' && now - startedAt >= this.#options.minimumRunMs,
    );
    return selectStop(
      input.zones,
      active,
      old,
      (left) => input.zones.length === 1 || survivesLoss(left, spare),
    );
  }

  /** Numbers of endpoints at which one more, or one less, is no longer worth while. */
  #wanted({ zones, tokensPerSecond }: ScalingInput, demands: readonly ClassDemand[]): Wanted {
    const { utilization, startRatio, stopRatio } = this.#options;
    const capacity = utilization * tokensPerSecond;
    const prices = zones.flatMap(({ pricePerHour, maximum }) =>
      Array.from({ length: maximum }, () => pricePerHour),
    );
    prices.sort((a, b) => a - b);
    const minimum = zones.reduce((sum, zone) => sum + zone.minimum, 0);
    const worthOf = (index: number) => marginalWorth(demands, index + 1, capacity);
    const countWorth = (ratio: number) => {
      const first = prices.findIndex((price, index) => worthOf(index) <= ratio * price);
      return Math.max(minimum, first < 0 ? prices.length : first);
    };
    return { atLeast: countWorth(startRatio), atMost: countWorth(stopRatio) };
  }

  #forecast(state: ModelState, demands: readonly ClassDemand[], now: number): ClassDemand[] {
    return demands.map((demand) => {
      const trend = state.trends.get(demand.class) ?? new Trend();
      state.trends.set(demand.class, trend);
      trend.observe(demand.requestsPerSecond, now);
      return { ...demand, requestsPerSecond: trend.forecast(this.#options.startUpMs) };
    });
  }

  #stateOf(model: string): ModelState {
    const known = this.#models.get(model);
    if (known) return known;
    const state = { trends: new Map(), moreSince: undefined, lessSince: undefined };
    this.#models.set(model, state);
    return state;
  }
}

/** An endpoint that is about to be ordered. */
function createPlanned(dataCentre: DataCentreId, now: number): ScaledEndpoint {
  return { endpoint: asId('planned'), dataCentre, state: 'starting', startedAt: now, load: 0 };
}

/** Endpoints that the top tier alone needs. */
function topTierEndpoints(demands: readonly ClassDemand[], capacity: number): number {
  const active = demands.filter(({ requestsPerSecond }) => requestsPerSecond > 0);
  const top = Math.min(...active.map(({ tier }) => tier));
  const tokens = active
    .filter(({ tier }) => tier === top)
    .reduce((sum, demand) => sum + tokensOf(demand), 0);
  return capacity > 0 ? Math.ceil(tokens / capacity) : 0;
}

/** Whether enough endpoints are left when the zone with the most of them is lost. */
function survivesLoss(active: readonly ScaledEndpoint[], needed: number): boolean {
  const counts = new Map<DataCentreId, number>();
  for (const { dataCentre } of active) counts.set(dataCentre, (counts.get(dataCentre) ?? 0) + 1);
  const largest = Math.max(0, ...counts.values());
  return active.length - largest >= needed;
}

function countIn(endpoints: readonly ScaledEndpoint[], zone: Zone): number {
  return endpoints.filter((endpoint) => isIn(endpoint, zone)).length;
}

function isIn({ dataCentre }: ScaledEndpoint, zone: Zone): boolean {
  return dataCentre === zone.dataCentre;
}
