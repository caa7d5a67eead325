/** Copies of the replicated state in entries and sidecars, with a freshness lease. */
export { CLOCK_RATE_BOUND, FRESHNESS_MS, RENEWAL_INTERVAL_MS } from './lib/constants';
export { feedEvents } from './lib/events';
export { StateCopy } from './lib/StateCopy';
export { Subscription, type EndpointOrder, type SubscriptionOptions } from './lib/Subscription';
