import { defineEvents } from '@berylwood/base';

/** Log events of links (1100 to 1199). @public */
export const linkEvents = defineEvents({
  linkOpened: {
    number: 1100,
    level: 'debug',
    meaning: 'A connection to another process is open.',
    action: 'none',
  },
  linkClosed: {
    number: 1101,
    level: 'info',
    meaning: 'A connection to another process has closed.',
    action: 'None; check for a network partition if it recurs.',
  },
  linkSilent: {
    number: 1102,
    level: 'warn',
    meaning: 'A connection received nothing within its silence time-out and was dropped.',
    action: 'Check for a network partition or a frozen process.',
  },
  messageInvalid: {
    number: 1103,
    level: 'error',
    meaning: 'A message failed validation and its connection was dropped.',
    action: 'Compare the versions of both processes.',
  },
  addressInvalid: {
    number: 1104,
    level: 'error',
    meaning: 'An address to which no connection can be opened; it is tried again later.',
    action: 'Correct the address in the settings, or compare the versions of both processes.',
  },
});
