import { defineEvents } from '@berylwood/base';

/** Log events of the entry role (5000 to 5099). @public */
export const entryEvents = defineEvents({
  entryListening: {
    number: 5000,
    level: 'info',
    meaning: 'The entry accepts callers.',
    action: 'none',
  },
  requestArrived: {
    number: 5001,
    level: 'debug',
    meaning: 'A request was authenticated and waits for an endpoint.',
    action: 'none',
  },
  requestDispatched: {
    number: 5002,
    level: 'debug',
    meaning: 'An attempt was sent to a sidecar.',
    action: 'none',
  },
  requestEnded: {
    number: 5003,
    level: 'debug',
    meaning: 'The whole answer was handed to the caller.',
    action: 'none',
  },
  requestFailed: {
    number: 5004,
    level: 'info',
    meaning: 'A request was answered with an error.',
    action: 'See the result code.',
  },
  callerGone: {
    number: 5005,
    level: 'debug',
    meaning: 'The caller closed its connection before the answer was whole.',
    action: 'none',
  },
  entryDraining: {
    number: 5006,
    level: 'info',
    meaning: 'The entry is unready and waits for its requests to end.',
    action: 'none',
  },
  requestRetried: {
    number: 5007,
    level: 'info',
    meaning: 'An attempt ended without an answer and the request goes on elsewhere.',
    action: 'See the result code; look at the endpoint if it recurs.',
  },
  entryCut: {
    number: 5008,
    level: 'error',
    meaning: 'The process ended before its requests had.',
    action: 'Raise shutdown_limit_ms, or look for what held them up.',
  },
  certificateReloaded: {
    number: 5009,
    level: 'info',
    meaning: 'New connections of callers get the new certificate.',
    action: 'none',
  },
  certificateUnusable: {
    number: 5010,
    level: 'error',
    meaning: 'The files of the certificate can not be used; the one before stays in use.',
    action: 'Correct the files named in [tls.callers].',
  },
});
