import { defineCodes } from '@berylwood/base';

/** Result codes of the replicated state and operators' commands (3000 to 3099). @public */
export const ledgerCodes = defineCodes({
  revisionConflict: {
    number: 3000,
    status: 409,
    notRun: true,
    meaning: 'The change was made against a revision that is no longer the present one.',
    remedy: 'Look at the present lists, make the change again and apply it.',
  },
  keyUnknown: {
    number: 3001,
    status: 404,
    notRun: true,
    meaning: 'No key has this id.',
    remedy: 'List the keys.',
  },
  workspaceUnknown: {
    number: 3002,
    status: 404,
    notRun: true,
    meaning: 'No customer in the list has this name.',
    remedy: 'Add the workspace to the list of customers and apply it.',
  },
});
