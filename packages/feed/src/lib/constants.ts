/** Age at which a proof of freshness ends, in milliseconds. @public */
export const FRESHNESS_MS = 2000;

/** Interval at which a node renews its proof, in milliseconds. @public */
export const RENEWAL_INTERVAL_MS = 500;

/** Bound on the difference of clock rates between two instances, as a share. @public */
export const CLOCK_RATE_BOUND = 0.01;
