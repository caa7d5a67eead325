import { defineCodes } from '@berylwood/base';

/** Result codes of the command line (8000 to 8099). @public */
export const commandCodes = defineCodes({
  usage: {
    number: 8000,
    status: 400,
    notRun: true,
    meaning: 'The command line is not valid.',
    remedy: 'See --help.',
  },
  addressInUse: {
    number: 8001,
    status: 500,
    notRun: true,
    meaning: 'A port that the settings name is in use.',
    remedy: 'End the other process, or change the address.',
  },
  startFailed: {
    number: 8002,
    status: 500,
    notRun: true,
    meaning: 'The process could not start its roles.',
    remedy: 'See the message.',
  },
  operatorUnreachable: {
    number: 8003,
    status: 503,
    notRun: 'unknown',
    meaning: 'No control replica answered the command.',
    remedy: 'Check --control and whether the group has a leader; resend with the same --change.',
  },
  operatorRefused: {
    number: 8004,
    status: 409,
    notRun: true,
    meaning: 'The control group refused the command.',
    remedy: 'See the code in the message.',
  },
});
