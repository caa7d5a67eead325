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
    meaning: 'An attempt was taken into the table.',
    action: 'none',
  },
  attemptRefused: {
    number: 6002,
    level: 'info',
    meaning: 'An attempt was refused before it was handed to the endpoint.',
    action: 'none; see the code if it recurs.',
  },
  attemptEnded: {
    number: 6003,
    level: 'debug',
    meaning: 'An attempt has ended with a whole answer.',
    action: 'none',
  },
  attemptFailed: {
    number: 6004,
    level: 'warn',
    meaning: 'The endpoint failed while it ran an attempt.',
    action: 'Look at the endpoint.',
  },
  sidecarDraining: {
    number: 6005,
    level: 'info',
    meaning: 'The sidecar takes no new attempts and finishes what it has.',
    action: 'none',
  },
  endpointCrashed: {
    number: 6006,
    level: 'warn',
    meaning: 'The endpoint crashed; what it held is suspected.',
    action: 'Look at the endpoint; a request that crashes two is quarantined.',
  },
  attemptAbandoned: {
    number: 6007,
    level: 'warn',
    meaning: 'An attempt was given up: its entry is gone, or its caller reads too slowly.',
    action: 'Look at the entry and the caller, if it recurs.',
  },
  sidecarCut: {
    number: 6008,
    level: 'error',
    meaning: 'The process ended before its attempts had.',
    action: 'Raise shutdown_limit_ms, or look for what held them up.',
  },
  orderPassed: {
    number: 6009,
    level: 'info',
    meaning: 'An order of the control group was passed to the endpoint.',
    action: 'none',
  },
  orderRefused: {
    number: 6010,
    level: 'warn',
    meaning: 'An order with an old fencing number was refused.',
    action: 'Look for a control replica that was cut off and still believes that it leads.',
  },
});
