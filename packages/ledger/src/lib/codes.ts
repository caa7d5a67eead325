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
  changeForgotten: {
    number: 3003,
    status: 410,
    notRun: 'unknown',
    meaning:
      'The change is older than the outcomes that the group remembers; it is not applied now.',
    remedy: 'Look at the history and the keys, and make a new change if it is still wanted.',
  },
  changeReused: {
    number: 3004,
    status: 409,
    notRun: true,
    meaning: 'The id of the change belongs to another change.',
    remedy: 'Make a new change with an id of its own.',
  },
  keyTaken: {
    number: 3005,
    status: 409,
    notRun: true,
    meaning: 'A key with this id or secret exists, or existed.',
    remedy: 'Generate another secret.',
  },
  claimsFull: {
    number: 3010,
    status: 503,
    notRun: true,
    meaning: 'The table of claims is full, so that no further non-idempotent request is admitted.',
    remedy: 'Retry later.',
  },
  claimUnknown: {
    number: 3011,
    status: 404,
    notRun: true,
    meaning: 'No running claim of this request exists.',
    remedy: 'None; the claim has ended or expired.',
  },
  windowNotFrozen: {
    number: 3021,
    status: 409,
    notRun: true,
    meaning: 'No frozen window of this name awaits its report.',
    remedy: 'None; another leader has reported it.',
  },
  fenceStale: {
    number: 3030,
    status: 409,
    notRun: true,
    meaning: 'The fencing number is not that of the present leader.',
    remedy: 'None; the present leader goes on with the work.',
  },
  ordersFull: {
    number: 3031,
    status: 503,
    notRun: true,
    meaning: 'Too many orders are unanswered.',
    remedy: 'Check whether the platform and the sidecars answer.',
  },
  orderUnknown: {
    number: 3032,
    status: 404,
    notRun: true,
    meaning: 'No order has this id, or it is not at the step that the command names.',
    remedy: 'List the orders.',
  },
  suspectsFull: {
    number: 3040,
    status: 503,
    notRun: true,
    meaning: 'The table of suspected requests is full.',
    remedy: 'Look for the cause of the crashes.',
  },
  restoreRefused: {
    number: 3050,
    status: 409,
    notRun: true,
    meaning: 'A backup can be restored only into a new group, part by part in order.',
    remedy: 'Start the group with empty data folders and restore before any other change.',
  },
});
