import { defineEvents } from '@berylwood/base';

/** Log events of the gateway (9000 to 9099). @public */
export const gatewayEvents = defineEvents({
  requestServed: {
    number: 9000,
    level: 'info',
    meaning: 'An endpoint served a request with a complete response.',
    action: 'none',
  },
  requestFailed: {
    number: 9001,
    level: 'warn',
    meaning: 'A request failed or ended without a complete response.',
    action: 'Search the log for the request id; see OPERATIONS.md.',
  },
  attemptFailed: {
    number: 9002,
    level: 'warn',
    meaning:
      'An attempt at an endpoint failed: no connection, a rejection, or a failed or incomplete response.',
    action: 'Check the endpoint if this happens repeatedly.',
  },
  linesLeftOut: {
    number: 9003,
    level: 'info',
    meaning:
      'Log lines of served or rejected requests were omitted to limit the volume of the log.',
    action: 'none',
  },
  listRead: {
    number: 9010,
    level: 'info',
    meaning: 'The list of endpoints has changed.',
    action: 'none',
  },
  listFailed: {
    number: 9011,
    level: 'warn',
    meaning:
      'The list of endpoints could not be read and the last one is kept, or some entries of it are invalid.',
    action: 'Check the platform if this persists.',
  },
  endpointSpared: {
    number: 9012,
    level: 'warn',
    meaning: 'An endpoint was ejected after failures and receives no requests for a time.',
    action: 'Check the endpoint if this happens repeatedly.',
  },
  tableReplaced: {
    number: 9013,
    level: 'info',
    meaning: 'A newer routing configuration is in force on this instance.',
    action: 'none',
  },
  tableRefused: {
    number: 9014,
    level: 'error',
    meaning: 'A committed configuration cannot be decoded; the previous one stays in force.',
    action: 'Report it: replicas run different versions of the software.',
  },
  endpointCrashed: {
    number: 9015,
    level: 'warn',
    meaning:
      'An endpoint crashed before it began to answer this attempt; the contents of the request are suspect.',
    action: 'Check the endpoint; see the suspicions of the contents that follow.',
  },
  contentQuarantined: {
    number: 9016,
    level: 'warn',
    meaning: 'Requests with this content crashed endpoints one after the other; they are rejected.',
    action: 'Find the requests by `endpointCrashed` lines with the content, and correct them.',
  },
  contentCleared: {
    number: 9017,
    level: 'info',
    meaning: 'A quarantined content was answered by an endpoint and may run again.',
    action: 'none',
  },
  suspicionsInvalid: {
    number: 9018,
    level: 'warn',
    meaning: 'Suspicions of another instance cannot be read and are ignored.',
    action: 'Check that all instances run versions that fit together.',
  },
  contentTried: {
    number: 9019,
    level: 'info',
    meaning:
      'A request with a quarantined content is sent, since another content may be to blame for the same crashes.',
    action: 'none',
  },
  operatorAnswered: {
    number: 9020,
    level: 'info',
    meaning: 'An operator call was answered.',
    action: 'none',
  },
  usageReported: {
    number: 9021,
    level: 'info',
    meaning: 'The platform accepted the report of a usage window.',
    action: 'none',
  },
  usageFailed: {
    number: 9022,
    level: 'warn',
    meaning: 'The platform did not accept the report of a usage window; it is sent again.',
    action: 'Check the platform if this persists.',
  },
  readinessChanged: {
    number: 9030,
    level: 'info',
    meaning: 'The instance became ready for new connections, or is no longer ready.',
    action: 'none',
  },
  settingsReloaded: {
    number: 9031,
    level: 'info',
    meaning: 'The settings file was reloaded.',
    action: 'none',
  },
  handOverFailed: {
    number: 9032,
    level: 'warn',
    meaning: 'Leadership of the registry could not be transferred before the stop.',
    action: 'None: the replicas elect a new leader.',
  },
  registryLeft: {
    number: 9033,
    level: 'info',
    meaning:
      'The replica of a stopping instance has left its vote to another one; `hasVote` if it has not within `waitedMs`.',
    action: 'None; if it has not, the other replicas replace it once it is silent.',
  },
  endpointLimited: {
    number: 9040,
    level: 'warn',
    meaning: 'An endpoint limits the requests per second that it accepts, or changed that limit.',
    action: 'Check the endpoint or add capacity if this persists.',
  },
  endpointLimitEnded: {
    number: 9041,
    level: 'info',
    meaning: 'An endpoint no longer limits the requests per second that it accepts.',
    action: 'none',
  },
  statementInvalid: {
    number: 9042,
    level: 'warn',
    meaning:
      'An endpoint stated a condition with an unusable value, which is ignored; logged once for each endpoint.',
    action: 'Check the version of the endpoint.',
  },
  endpointLeaving: {
    number: 9045,
    level: 'info',
    meaning: 'An endpoint states that it is leaving; it receives no more requests.',
    action: 'none',
  },
  endpointStaying: {
    number: 9046,
    level: 'info',
    meaning:
      'An endpoint that stated that it was leaving no longer does, and receives requests again.',
    action: 'none',
  },
  healthCheckFailed: {
    number: 9047,
    level: 'info',
    meaning: 'The health check of an endpoint that stated that it was leaving has failed.',
    action: 'None: it is checked again while it is listed.',
  },
  endpointPaused: {
    number: 9048,
    level: 'info',
    meaning: 'An endpoint rejected a request and wants no more from this instance for a time.',
    action: 'none',
  },
  fault: {
    number: 9049,
    level: 'error',
    meaning: 'An unexpected exception ended one request, attempt or call; others are not affected.',
    action: 'Report it with the `stack` of the line.',
  },
  requestHeld: {
    number: 9043,
    level: 'info',
    meaning:
      'A request waits for an endpoint with a limit, or is rejected because it would wait too long; at most 20 a second.',
    action: 'See the limits in the line.',
  },
  endpointCold: {
    number: 9070,
    level: 'info',
    meaning:
      'An endpoint is, or may be, cold after a start; all instances together send it few requests.',
    action: 'none',
  },
  endpointWarm: {
    number: 9071,
    level: 'info',
    meaning: 'An endpoint no longer counts as cold.',
    action: 'none',
  },
  recoveryBegan: {
    number: 9072,
    level: 'info',
    meaning:
      'An endpoint has started or answers again (`cause`); requests to it are paced by its answers.',
    action: 'none',
  },
  recoveryEnded: {
    number: 9073,
    level: 'info',
    meaning:
      'Requests to an endpoint are no longer paced: the window covers its slots or the demand, it failed, or the time is over (`cause`).',
    action: 'If the cause is `failed` again and again, check the endpoint.',
  },
  paceInvalid: {
    number: 9074,
    level: 'warn',
    meaning: 'What another instance attached about recoveries cannot be read and is ignored.',
    action: 'Check that all instances run versions that fit together.',
  },
  limitsInvalid: {
    number: 9044,
    level: 'warn',
    meaning: 'Limits or permits of another instance cannot be read and are ignored.',
    action: 'Check that all instances run versions that fit together.',
  },
  evacuationStarted: {
    number: 9060,
    level: 'info',
    meaning:
      'Endpoints of a data centre receive no new requests from this instance, by an order of operators.',
    action: 'none',
  },
  evacuationEnded: {
    number: 9061,
    level: 'info',
    meaning: 'The evacuation of a data centre has ended; this instance uses its endpoints again.',
    action: 'none',
  },
  engineSpeedsInvalid: {
    number: 9090,
    level: 'warn',
    meaning: 'Speeds of engines from another instance cannot be read and are ignored.',
    action: 'Check that all instances run versions that fit together.',
  },
  prefillTimeLearnt: {
    number: 9091,
    level: 'info',
    meaning:
      'Placement now uses another time of a prefill for a pool; `factor` relates it to the data sheet.',
    action: 'none',
  },
  engineSpeedLearnt: {
    number: 9092,
    level: 'info',
    meaning:
      'Placement now uses another speed of an engine in relation to its pool; at most 8 a second.',
    action: 'If the engines should be equal, check the machine of this one.',
  },
  streamEnginesChanged: {
    number: 9080,
    level: 'info',
    meaning:
      'The leader has changed the number of engines that serve the streams with tight pauses of a pool; at most one line a second for each pool.',
    action: 'None; see the demand in the line and OPERATIONS.md.',
  },
  streamEnginesInvalid: {
    number: 9081,
    level: 'warn',
    meaning:
      'What another instance reports or decides about stream engines cannot be read and is ignored; at most one line in ten seconds.',
    action: 'Check that all instances run versions that fit together.',
  },
  admissionShortageBegan: {
    number: 9110,
    level: 'warn',
    meaning:
      'More prompt tokens arrive at a pool than its engines prefill; the leader now divides the capacity among the workspaces.',
    action: 'See the rates in the line and OPERATIONS.md; add engines if this persists.',
  },
  admissionShortageEnded: {
    number: 9111,
    level: 'info',
    meaning: 'The shortage of prefill capacity of a pool is over; all workspaces are unrestricted.',
    action: 'none',
  },
  admissionFractions: {
    number: 9112,
    level: 'info',
    meaning:
      'Rates and the lowest admitted fraction of first tries during a shortage; at most one line a second for each pool.',
    action: 'none',
  },
  admissionInvalid: {
    number: 9113,
    level: 'warn',
    meaning:
      'What another instance reports or decides about admission cannot be read and is ignored; at most one line in ten seconds.',
    action: 'Check that all instances run versions that fit together.',
  },
});
