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
});
