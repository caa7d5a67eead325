import { defineEvents } from '@berylwood/base';

/** Log events of the gateway (9000 to 9099). @public */
export const gatewayEvents = defineEvents({
  requestServed: {
    number: 9000,
    level: 'info',
    meaning: 'A request got the complete answer of an endpoint.',
    action: 'none',
  },
  requestFailed: {
    number: 9001,
    level: 'warn',
    meaning: 'A request got a failure or ended without a complete answer.',
    action: 'Follow the lines of the same request id; see OPERATIONS.md.',
  },
  attemptFailed: {
    number: 9002,
    level: 'warn',
    meaning: 'An endpoint refused a request or broke off its answer.',
    action: 'Look at the endpoint if it repeats.',
  },
  linesLeftOut: {
    number: 9003,
    level: 'info',
    meaning: 'Lines of served requests were left out to bound the volume of the log.',
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
    meaning: 'The list of endpoints could not be read; the last one is kept.',
    action: 'Look at the platform if it lasts.',
  },
  endpointSpared: {
    number: 9012,
    level: 'warn',
    meaning: 'An endpoint gets no requests for a while, after failures.',
    action: 'Look at the endpoint if it repeats.',
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
    meaning: 'A committed configuration can not be decoded; the one before stays in force.',
    action: 'Report it: replicas of different versions are at work.',
  },
  operatorAnswered: {
    number: 9020,
    level: 'info',
    meaning: 'A call of an operator was answered.',
    action: 'none',
  },
  usageReported: {
    number: 9021,
    level: 'info',
    meaning: 'The platform has taken the report of a usage window.',
    action: 'none',
  },
  usageFailed: {
    number: 9022,
    level: 'warn',
    meaning: 'A report of a usage window was not taken; it is sent again.',
    action: 'Look at the platform if it lasts.',
  },
  readinessChanged: {
    number: 9030,
    level: 'info',
    meaning: 'The instance has begun or ceased to be ready for new connections.',
    action: 'none',
  },
  settingsReloaded: {
    number: 9031,
    level: 'info',
    meaning: 'The settings file was read again.',
    action: 'none',
  },
  handOverFailed: {
    number: 9032,
    level: 'warn',
    meaning: 'The leadership of the registry could not be handed over before a stop.',
    action: 'None: an election follows.',
  },
});
