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
    meaning: 'A change of an operator is committed.',
    action: 'none',
  },
  changeRefused: {
    number: 3102,
    level: 'warn',
    meaning: 'A change of an operator was refused.',
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
    meaning: 'An entry or sidecar has connected.',
    action: 'none',
  },
  nodeLeft: {
    number: 3105,
    level: 'info',
    meaning: 'An entry or sidecar has disconnected.',
    action: 'none if it was planned.',
  },
  leadershipTaken: {
    number: 3106,
    level: 'info',
    meaning: 'This replica leads, under a new fencing number.',
    action: 'none',
  },
  leadershipLost: {
    number: 3107,
    level: 'warn',
    meaning: 'This replica leads no more.',
    action: 'none if it was planned; else check the network and the load of the instance.',
  },
  orderSent: {
    number: 3110,
    level: 'info',
    meaning: 'An order is about to be sent; this is committed.',
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
    meaning: 'An order has no answer; it is sent again with the same id.',
    action: 'Check the platform’s ordering interface if it lasts.',
  },
  windowsClosed: {
    number: 3120,
    level: 'info',
    meaning: 'The figures of all usage windows up to a time are frozen.',
    action: 'none',
  },
  windowReported: {
    number: 3121,
    level: 'info',
    meaning: 'The platform has taken the report of a usage window.',
    action: 'none',
  },
  reportUnanswered: {
    number: 3122,
    level: 'warn',
    meaning: 'The report of a usage window has no answer; it is sent again with the same bytes.',
    action: 'Check the platform’s intake of usage if it lasts.',
  },
  usageDropped: {
    number: 3123,
    level: 'error',
    meaning: 'Usage was too old to be told from usage that was counted; it is not billed.',
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
