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
    meaning: 'A port in the settings is already in use.',
    remedy: 'Stop the other process, or change the address.',
  },
  startFailed: {
    number: 8002,
    status: 500,
    notRun: true,
    meaning: 'The process could not start its roles.',
    remedy: 'Check the message for the cause.',
  },
  operatorUnreachable: {
    number: 8003,
    status: 503,
    notRun: 'unknown',
    meaning: 'No control replica responded to the command.',
    remedy: 'Check --control and whether the group has a leader; resend with the same --change.',
  },
  operatorRefused: {
    number: 8004,
    status: 409,
    notRun: true,
    meaning: 'The control group rejected the command.',
    remedy: 'Check the result code in the message.',
  },
});
