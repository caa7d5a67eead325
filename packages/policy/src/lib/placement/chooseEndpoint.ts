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

/**
 * The first `count` views in the order in which a prompt prefers them, by rendezvous hashing. A prompt
 * stays cached at these endpoints, since all instances send it there.
 * @public
 */
export function rankByHash<P extends { readonly key: string }>(
  views: readonly P[],
  prompt: string,
  count: number,
): P[] {
  return views
    .map((view): [number, P] => [hash(`${prompt}/${view.key}`), view])
    .sort(([a], [b]) => b - a)
    .slice(0, count)
    .map(([, view]) => view);
}

/**
 * Chooses an endpoint of a plain service: the one with the lowest load per slot. Load pattern: short
 * calls that many instances send at the same time.
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
    const cost = view.load / view.slots + (view.isLocal ? 0 : options.remotePenalty);
    if (cost < bestCost) {
      best = view;
      bestCost = cost;
    }
  }
  return best;
}
