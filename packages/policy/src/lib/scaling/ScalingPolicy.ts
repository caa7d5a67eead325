import { asId } from '@berylwood/base';
import type { DataCentreId, Zone } from '@berylwood/schema';
import { marginalValue, tokenDemand } from './marginalValue';
import type {
  ClassDemand,
  ScaledEndpoint,
  ScalingDecision,
  ScalingInput,
  ScalingOptions,
} from './ScalingTypes';
import { Trend } from './Trend';
import { selectZoneToStart, selectEndpointToDrain } from './selectZone';

const defaults: Required<ScalingOptions> = {
  utilization: 0.7,
  startAfterMs: 5_000,
  stopAfterMs: 180_000,
  minimumRunMs: 600_000,
  startUpMs: 60_000,
  startRatio: 1.2,
  stopRatio: 0.8,
};

/** State kept for one model between decisions. */
interface ModelState {
  /** Trends of the request rate, by class. */
  readonly trends: Map<string, Trend>;
  /** Time since which there have been too few, or too many, endpoints; undefined if there are not. */
  shortageSince: number | undefined;
  excessSince: number | undefined;
}

/** Bounds on the number of endpoints. The gap between them provides hysteresis. */
interface TargetRange {
  readonly atLeast: number;
  readonly atMost: number;
}

/**
 * Starts an endpoint if the service that would be lost without it is worth more than its price, and
 * drains one if that service is worth clearly less. The endpoints that remain after the loss of the
 * largest zone must have enough capacity for the top tier. Demand is forecast over the start-up time.
 * Hysteresis in time and value, and a minimum running time, prevent a reaction to every change.
 * @public
 */
export class ScalingPolicy {
  readonly #options: Required<ScalingOptions>;

  readonly #models = new Map<string, ModelState>();

  constructor(options: ScalingOptions = {}) {
    this.#options = { ...defaults, ...options };
  }

  /** Decisions for one model. Called every few seconds. */
  decide(input: ScalingInput, now: number): ScalingDecision[] {
    const state = this.#stateOf(input.model);
    const demands = this.#forecast(state, input.demands, now);
    const stops = input.endpoints
      .filter(({ state: phase, load }) => phase === 'draining' && load === 0)
      .map(({ endpoint }) => ({ type: 'stop', endpoint }) as const);
    const active = input.endpoints.filter(({ state: phase }) => phase !== 'draining');
    const range = this.#targetRange(input, demands);
    const capacity = this.#options.utilization * input.tokensPerSecond;
    const topTierCount = countForTopTier(demands, capacity);
    const lacksRedundancy = input.zones.length > 1 && !survivesZoneLoss(active, topTierCount);
    const hasShortage = active.length < range.atLeast || lacksRedundancy;
    // An endpoint counts as excess only if the rest survives the loss of a zone. There must be an
    // excess throughout `stopAfterMs` before one is drained.
    const excess =
      active.length > range.atMost ? this.#findExcess(input, active, topTierCount, now) : undefined;
    state.shortageSince = hasShortage ? (state.shortageSince ?? now) : undefined;
    state.excessSince = excess ? (state.excessSince ?? now) : undefined;
    const isDue =
      state.excessSince !== undefined && now - state.excessSince >= this.#options.stopAfterMs;
    const starts = this.#start(input, active, range.atLeast, state, now);
    if (!excess || !isDue) return [...stops, ...starts];
    return [...stops, ...starts, { type: 'drain', endpoint: excess.endpoint }];
  }

  /** Adds the missing endpoints: resumes draining ones first, then starts new ones. */
  #start(
    input: ScalingInput,
    active: readonly ScaledEndpoint[],
    targetCount: number,
    state: ModelState,
    now: number,
  ): ScalingDecision[] {
    const isDue =
      state.shortageSince !== undefined && now - state.shortageSince >= this.#options.startAfterMs;
    const decisions: ScalingDecision[] = [];
    const planned = [...active];
    const missing = isDue ? Math.max(1, targetCount - active.length) : 0;
    for (;;) {
      const belowMinimum = input.zones.find((zone) => countIn(planned, zone) < zone.minimum);
      const zone =
        belowMinimum ??
        (decisions.length < missing ? selectZoneToStart(input.zones, planned) : undefined);
      if (!zone) return decisions;
      const draining = input.endpoints.find((endpoint) => {
        const isPlanned = planned.includes(endpoint);
        return (
          endpoint.state === 'draining' && endpoint.load > 0 && !isPlanned && isIn(endpoint, zone)
        );
      });
      const dataCentre = zone.dataCentre as DataCentreId;
      planned.push(draining ?? createPlannedEndpoint(dataCentre, now));
      if (draining) decisions.push({ type: 'resume', endpoint: draining.endpoint });
      else decisions.push({ type: 'start', model: input.model, dataCentre });
    }
  }

  /** An endpoint that has run for the minimum time and is not needed. */
  #findExcess(
    input: ScalingInput,
    active: readonly ScaledEndpoint[],
    topTierCount: number,
    now: number,
  ): ScaledEndpoint | undefined {
    const eligible = active.filter(
      ({ state, startedAt }) =>
        state === 'running' && now - startedAt >= this.#options.minimumRunMs,
    );
    return selectEndpointToDrain(
      input.zones,
      active,
      eligible,
      (remaining) => input.zones.length === 1 || survivesZoneLoss(remaining, topTierCount),
    );
  }

  /** Number of endpoints that are worth starting, and number that are worth keeping. */
  #targetRange(
    { zones, tokensPerSecond }: ScalingInput,
    demands: readonly ClassDemand[],
  ): TargetRange {
    const { utilization, startRatio, stopRatio } = this.#options;
    const capacity = utilization * tokensPerSecond;
    const prices = zones.flatMap(({ pricePerHour, maximum }) =>
      Array.from({ length: maximum }, () => pricePerHour),
    );
    prices.sort((a, b) => a - b);
    const minimum = zones.reduce((sum, zone) => sum + zone.minimum, 0);
    const valueAt = (index: number) => marginalValue(demands, index + 1, capacity);
    const countWorthwhile = (ratio: number) => {
      const first = prices.findIndex((price, index) => valueAt(index) <= ratio * price);
      return Math.max(minimum, first < 0 ? prices.length : first);
    };
    return { atLeast: countWorthwhile(startRatio), atMost: countWorthwhile(stopRatio) };
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
    const state = { trends: new Map(), shortageSince: undefined, excessSince: undefined };
    this.#models.set(model, state);
    return state;
  }
}

/** Placeholder for an endpoint whose start is being decided. */
function createPlannedEndpoint(dataCentre: DataCentreId, now: number): ScaledEndpoint {
  return { endpoint: asId('planned'), dataCentre, state: 'starting', startedAt: now, load: 0 };
}

/** Number of endpoints that the top tier alone needs. */
function countForTopTier(demands: readonly ClassDemand[], capacity: number): number {
  const active = demands.filter(({ requestsPerSecond }) => requestsPerSecond > 0);
  const top = Math.min(...active.map(({ tier }) => tier));
  const tokens = active
    .filter(({ tier }) => tier === top)
    .reduce((sum, demand) => sum + tokenDemand(demand), 0);
  return capacity > 0 ? Math.ceil(tokens / capacity) : 0;
}

/** Whether enough endpoints remain after the loss of the zone with the most endpoints. */
function survivesZoneLoss(active: readonly ScaledEndpoint[], needed: number): boolean {
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
