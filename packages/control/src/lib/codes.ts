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
});
