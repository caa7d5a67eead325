/** An endpoint as a candidate for a request. @public */
export interface Place {
  /** Key for the ranking by hash; the same on all instances. */
  readonly key: string;
  /** Estimated requests that run or wait there, from all instances. */
  readonly load: number;
  /** Requests that it runs at a time. */
  readonly slots: number;
  /** Whether it lies in the data centre of the instance that asks. */
  readonly isNear: boolean;
}

/** Options of the placement. @public */
export interface PlacementOptions {
  /** Endpoints that may keep the same prompt warm. */
  readonly homes: number;
  /** Load of a home, as a multiple of the mean, above which the next one is tried. */
  readonly homeLoadFactor: number;
  /** Requests above that multiple which don't matter: the mean is noisy when little runs. */
  readonly homeLoadSlack: number;
  /** Lead that a far endpoint must have over a near one, as a share of its slots. */
  readonly farPenalty: number;
}

/** Defaults, by trials on recorded loads: see docs/design/platform.md. @public */
export const PLACEMENT: PlacementOptions = {
  homes: 3,
  homeLoadFactor: 1.5,
  homeLoadSlack: 2,
  farPenalty: 0,
};

/** 32-bit FNV-1a with a final mix: ranks places by prompt the same way on all instances. */
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

/** The places that keep a prompt warm, best first (rendezvous hashing). @public */
export function rankHomes<P extends Place>(
  places: readonly P[],
  prompt: string,
  count: number,
): P[] {
  return places
    .map((place): [number, P] => [hash(`${prompt}/${place.key}`), place])
    .sort(([a], [b]) => b - a)
    .slice(0, count)
    .map(([, place]) => place);
}

function leastLoaded<P extends Place>(
  places: readonly P[],
  options: PlacementOptions,
  draw: number,
): P | undefined {
  const start = Math.floor(draw * places.length);
  let best: P | undefined;
  let bestCost = Infinity;
  for (let step = 0; step < places.length; step += 1) {
    const place = places[(start + step) % places.length] as P;
    const cost = place.load / place.slots + (place.isNear ? 0 : options.farPenalty);
    if (cost < bestCost) {
      best = place;
      bestCost = cost;
    }
  }
  return best;
}

/**
 * Chooses an endpoint. Load pattern: many callers share long prompt parts, of which some are hot. A
 * shared part goes to the few endpoints that rank highest for it, so that it is read once there;
 * when these carry clearly more than the mean, the least loaded endpoint takes the request, so that
 * a hot part doesn't delay what else runs at its homes.
 * @param prompt the longest shared part of the prompt, or undefined without one
 * @param draw uniform in [0, 1): spreads ties over the instances that decide at the same time
 * @public
 */
export function choosePlace<P extends Place>(
  places: readonly P[],
  prompt: string | undefined,
  draw: number,
  options: PlacementOptions = PLACEMENT,
): P | undefined {
  if (prompt !== undefined) {
    const mean = places.reduce((sum, { load }) => sum + load, 0) / places.length;
    const limit = options.homeLoadFactor * mean + options.homeLoadSlack;
    const home = rankHomes(places, prompt, options.homes).find(({ load }) => load < limit);
    if (home) return home;
  }
  return leastLoaded(places, options, draw);
}
