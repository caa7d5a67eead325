import { defineCodes } from '@berylwood/base';

/** Result codes of the control role (3100 to 3199). @public */
export const controlCodes = defineCodes({
  notLeader: {
    number: 3100,
    status: 503,
    notRun: true,
    meaning: 'This replica does not lead the control group.',
    remedy: 'Send the command to the leader; the command line does so by itself.',
  },
  inForceTimeout: {
    number: 3101,
    status: 504,
    notRun: false,
    meaning: 'The change is committed, but was not yet in force everywhere when the wait ended.',
    remedy: 'None; the change comes into force later. Check the status.',
  },
  dataFolderUnusable: {
    number: 3102,
    status: 500,
    notRun: true,
    meaning: 'The data directory is missing or can not be written.',
    remedy: 'Create the directory and give the process write permission.',
  },
  callUnknown: {
    number: 3103,
    status: 400,
    notRun: true,
    meaning: 'A node sent a call of an unknown type.',
    remedy: 'Run the same version on all processes.',
  },
  platformFailed: {
    number: 3104,
    status: 502,
    notRun: 'unknown',
    meaning: 'The platform did not respond to a request, or its response was invalid.',
    remedy: 'Check the platform’s interface; the leader resends the request with the same id.',
  },
});
