/** Duration of a freshness lease, in milliseconds. @public */
export const FRESHNESS_MS = 2000;

/** Interval at which a node renews its freshness lease, in milliseconds. @public */
export const RENEWAL_INTERVAL_MS = 500;

/** Upper bound of the relative difference of clock rates between two instances, as a fraction. @public */
export const CLOCK_RATE_BOUND = 0.01;
