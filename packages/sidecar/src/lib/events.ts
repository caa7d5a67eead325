import { defineEvents } from '@berylwood/base';

/** Log events of the sidecar role (6000 to 6099). @public */
export const sidecarEvents = defineEvents({
  sidecarListening: {
    number: 6000,
    level: 'info',
    meaning: 'The sidecar accepts entries for its endpoint.',
    action: 'none',
  },
  attemptAccepted: {
    number: 6001,
    level: 'debug',
    meaning: 'The sidecar accepted an attempt and queued it.',
    action: 'none',
  },
  attemptRefused: {
    number: 6002,
    level: 'info',
    meaning: 'An attempt was rejected before it was forwarded to the endpoint.',
    action: 'none; if it recurs, check the result code.',
  },
  attemptEnded: {
    number: 6003,
    level: 'debug',
    meaning: 'An attempt ended with a complete response.',
    action: 'none',
  },
  attemptFailed: {
    number: 6004,
    level: 'warn',
    meaning: 'The endpoint failed while it ran an attempt.',
    action: 'Check the endpoint.',
  },
  sidecarDraining: {
    number: 6005,
    level: 'info',
    meaning: 'The sidecar accepts no new attempts and finishes its open attempts.',
    action: 'none',
  },
  endpointCrashed: {
    number: 6006,
    level: 'warn',
    meaning: 'The endpoint crashed; the requests that it was running are suspects.',
    action: 'Check the endpoint; a request that crashes two endpoints is quarantined.',
  },
  attemptAbandoned: {
    number: 6007,
    level: 'warn',
    meaning: 'An attempt was abandoned: its entry is disconnected, or its caller reads too slowly.',
    action: 'If it recurs, check the entry and the caller.',
  },
  sidecarCut: {
    number: 6008,
    level: 'error',
    meaning: 'The process exited before all its attempts had ended.',
    action: 'Raise shutdown_limit_ms, or find out why the attempts did not end in time.',
  },
  orderPassed: {
    number: 6009,
    level: 'info',
    meaning: 'An order of the control group was forwarded to the endpoint.',
    action: 'none',
  },
  orderRefused: {
    number: 6010,
    level: 'warn',
    meaning: 'An order with an outdated fence was rejected.',
    action: 'Look for a partitioned control replica that still acts as leader.',
  },
});
