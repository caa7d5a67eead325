/** An endpoint as a candidate for a request. @public */
export interface EndpointView {
  /** Key for the ranking by hash; the same on all instances. */
  readonly key: string;
  /** Estimated requests that run or wait there, from all instances. */
  readonly load: number;
  /** Requests that it runs at a time. */
  readonly slots: number;
  /** Whether it lies in the data centre of the instance that asks. */
  readonly isLocal: boolean;
}

/** Options of the placement. @public */
export interface PlacementOptions {
  /** Lead that a far endpoint must have over a near one, as a share of its slots. */
  readonly remotePenalty: number;
}

/** Defaults. @public */
export const DEFAULT_PLACEMENT_OPTIONS: PlacementOptions = { remotePenalty: 0 };

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
 * Chooses an endpoint of a plain service: the one with most room for its size. Load pattern: short
 * calls that many instances send at the same time.
 * @param draw uniform in [0, 1): spreads ties over the instances that decide at the same time
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
