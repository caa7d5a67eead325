import { toSignificantFactor } from '../engines/toSignificantFactor';

/** State of an endpoint that is a candidate for a request. @public */
export interface EndpointView {
  /** Key for the ranking by hash. It is the same on all instances. */
  readonly key: string;
  /** Estimated number of requests from all instances that run or wait there. */
  readonly load: number;
  /** Requests that the endpoint runs concurrently. */
  readonly slots: number;
  /** Whether the endpoint is in the same data centre as the deciding instance. */
  readonly isLocal: boolean;
  /** Factor of the usual time that work takes there at this moment; 1 if missing. */
  readonly momentary?: number;
}

/** Options of the placement. @public */
export interface PlacementOptions {
  /** Load per slot that is added to an endpoint in another data centre. */
  readonly remotePenalty: number;
}

/** Default placement options. @public */
export const DEFAULT_PLACEMENT_OPTIONS: PlacementOptions = { remotePenalty: 0 };

/** 32-bit FNV-1a with a final mix. All instances get the same ranking from it. */
function hash(text: string): number {
  let value = 0x811c9dc5;
  for (let at = 0; at < text.length; at += 1) {
    // eslint-disable-next-line no-bitwise -- the hash is defined on bits
    value = Math.imul(value ^ text.charCodeAt(at), 0x01000193);
  }
  // eslint-disable-next-line no-bitwise -- as above
  value = Math.imul(value ^ (value >>> 16), 0x85ebca6b);
  // eslint-disable-next-line no-bitwise -- as above
  return (value ^ (value >>> 13)) >>> 0;
}

/** Number of values of the hash. */
const HASHES = 2 ** 32;

/**
 * Score for rendezvous hashing with weights, the speeds: the prompts that prefer a view are in proportion to
 * its speed. With equal speeds, the order is that of the hashes.
 */
function scoreBySpeed(hashed: number, speed: number): number {
  return speed / -Math.log((hashed + 0.5) / HASHES);
}

/**
 * The first `count` views in the order in which a prompt prefers them, by rendezvous hashing. A prompt
 * stays cached at these endpoints, since all instances send it there. A view of twice the speed is preferred
 * by twice as many prompts; a small change of a speed moves only few prompts.
 * @public
 */
export function rankByHash<P extends { readonly key: string; readonly speed?: number }>(
  views: readonly P[],
  prompt: string,
  count: number,
): P[] {
  const isUneven = views.some(({ speed }) => toSignificantFactor(speed) !== 1);
  return views
    .map((view): [number, P] => {
      const hashed = hash(`${prompt}/${view.key}`);
      return [isUneven ? scoreBySpeed(hashed, toSignificantFactor(view.speed)) : hashed, view];
    })
    .sort(([a], [b]) => b - a)
    .slice(0, count)
    .map(([, view]) => view);
}

/**
 * Chooses an endpoint of a plain service: the one with the lowest load per slot. Load pattern: short
 * calls that many instances send at the same time. The load of an endpoint that is slow at this moment counts
 * by its momentary factor.
 * @param draw random number, uniform in [0, 1). It breaks ties, so that instances that decide at the
 *   same time choose different endpoints.
 * @public
 */
export function chooseEndpoint<P extends EndpointView>(
  views: readonly P[],
  draw: number,
  options: PlacementOptions = DEFAULT_PLACEMENT_OPTIONS,
): P | undefined {
  const start = Math.floor(draw * views.length);
  let best: P | undefined;
  let bestCost = Infinity;
  for (let step = 0; step < views.length; step += 1) {
    const view = views[(start + step) % views.length] as P;
    const load = view.load * toSignificantFactor(view.momentary);
    const cost = load / view.slots + (view.isLocal ? 0 : options.remotePenalty);
    if (cost < bestCost) {
      best = view;
      bestCost = cost;
    }
  }
  return best;
}
