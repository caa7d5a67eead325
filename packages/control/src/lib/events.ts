import { defineEvents } from '@berylwood/base';

/** Log events of the control role (3100 to 3199). @public */
export const controlEvents = defineEvents({
  controlListening: {
    number: 3100,
    level: 'info',
    meaning: 'The control replica accepts nodes and operators.',
    action: 'none',
  },
  changeAccepted: {
    number: 3101,
    level: 'info',
    meaning: 'A change by an operator is committed.',
    action: 'none',
  },
  changeRefused: {
    number: 3102,
    level: 'warn',
    meaning: 'A change by an operator was rejected.',
    action: 'See the result code.',
  },
  changeInForce: {
    number: 3103,
    level: 'info',
    meaning: 'A change is in force on every node that may take work.',
    action: 'none',
  },
  nodeJoined: {
    number: 3104,
    level: 'info',
    meaning: 'An entry, sidecar or observer has connected.',
    action: 'none',
  },
  nodeLeft: {
    number: 3105,
    level: 'info',
    meaning: 'An entry, sidecar or observer has disconnected.',
    action: 'none if it was planned.',
  },
  leadershipTaken: {
    number: 3106,
    level: 'info',
    meaning: 'This replica leads the control group under a new fencing number.',
    action: 'none',
  },
  leadershipLost: {
    number: 3107,
    level: 'warn',
    meaning: 'This replica no longer leads the control group.',
    action: 'none if it was planned; else check the network and the load of the instance.',
  },
  orderSent: {
    number: 3110,
    level: 'info',
    meaning: 'An order is about to be sent; a record of the attempt is committed.',
    action: 'none',
  },
  orderAnswered: {
    number: 3111,
    level: 'info',
    meaning: 'An order was answered.',
    action: 'none',
  },
  orderUnknown: {
    number: 3112,
    level: 'warn',
    meaning: 'The outcome of an order is unknown; the order is resent with the same id.',
    action: 'Check the platform’s ordering interface if it persists.',
  },
  windowsClosed: {
    number: 3120,
    level: 'info',
    meaning: 'The counts of all usage windows up to a time are frozen.',
    action: 'none',
  },
  windowReported: {
    number: 3121,
    level: 'info',
    meaning: 'The platform has accepted the report of a usage window.',
    action: 'none',
  },
  reportUnanswered: {
    number: 3122,
    level: 'warn',
    meaning: 'The platform did not accept the report of a usage window; it is resent unchanged.',
    action: 'Check the platform’s interface for usage reports if it persists.',
  },
  usageDropped: {
    number: 3123,
    level: 'error',
    meaning: 'Usage is too old to rule out that it was already counted; it is not billed.',
    action: 'Compare the log of the sidecar with the reports.',
  },
  platformUnreachable: {
    number: 3130,
    level: 'warn',
    meaning: 'The leader can not reach the platform.',
    action: 'Check the network between the leader and the platform.',
  },
  observerListening: {
    number: 3140,
    level: 'info',
    meaning: 'The observer accepts nodes.',
    action: 'none',
  },
});
