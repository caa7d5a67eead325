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
    meaning: 'The complete response was sent to the caller.',
    action: 'none',
  },
  requestFailed: {
    number: 5004,
    level: 'info',
    meaning: 'A request failed and the caller received an error.',
    action: 'See the result code.',
  },
  callerGone: {
    number: 5005,
    level: 'debug',
    meaning: 'The caller closed its connection before the response was complete.',
    action: 'none',
  },
  entryDraining: {
    number: 5006,
    level: 'info',
    meaning: 'The entry reports not ready and waits for its requests to end.',
    action: 'none',
  },
  requestRetried: {
    number: 5007,
    level: 'info',
    meaning: 'An attempt ended without a complete response and the request is retried.',
    action: 'See the result code; check the endpoint if it recurs.',
  },
  entryCut: {
    number: 5008,
    level: 'error',
    meaning: 'The process exited before its requests had ended.',
    action: 'Raise shutdown_limit_ms, or find out what delayed the requests.',
  },
  certificateReloaded: {
    number: 5009,
    level: 'info',
    meaning: 'New connections of callers use the new certificate.',
    action: 'none',
  },
  certificateUnusable: {
    number: 5010,
    level: 'error',
    meaning: 'The certificate files cannot be used; the previous certificate stays in use.',
    action: 'Correct the files named in [tls.callers].',
  },
  bodyRejected: {
    number: 5011,
    level: 'warn',
    meaning:
      'A request that had not arrived completely was rejected because the body budget is spent; at most 10 lines a second.',
    action: 'See OPERATIONS.md, "Memory taken by callers".',
  },
});
