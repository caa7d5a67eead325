import { defineCodes } from '@berylwood/base';

/** Result codes of the control role (3100 to 3199). @public */
export const controlCodes = defineCodes({
  notLeader: {
    number: 3100,
    status: 503,
    notRun: true,
    meaning: 'This replica does not lead the control group.',
    remedy: 'Ask the leader; the command line follows the hint by itself.',
  },
  inForceTimeout: {
    number: 3101,
    status: 504,
    notRun: false,
    meaning: 'The change is committed, but was not yet in force everywhere when the wait ended.',
    remedy: 'It will come into force; look at the status.',
  },
  dataFolderUnusable: {
    number: 3102,
    status: 500,
    notRun: true,
    meaning: 'The data folder is missing or can not be written.',
    remedy: 'Create the folder and give the process the right to write to it.',
  },
  callUnknown: {
    number: 3103,
    status: 400,
    notRun: true,
    meaning: 'A node called what can not be called.',
    remedy: 'Run the same version on all processes.',
  },
  platformFailed: {
    number: 3104,
    status: 502,
    notRun: 'unknown',
    meaning: 'The platform did not answer a request, or not as expected.',
    remedy: 'Check the platform’s interface; the leader asks again with the same id.',
  },
});
