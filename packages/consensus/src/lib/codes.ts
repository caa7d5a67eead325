import { defineCodes } from '@berylwood/base';

/** Result codes of the replicated log (1200 to 1299). @public */
export const consensusCodes = defineCodes({
  notLeader: {
    number: 1200,
    status: 503,
    notRun: true,
    meaning: 'The replica that was asked does not lead the group.',
    remedy: 'Ask the leader named in the status of the replica, or retry after an election.',
  },
  leadershipLost: {
    number: 1201,
    status: 503,
    notRun: 'unknown',
    meaning: 'The leader lost its leadership while the command was in its log.',
    remedy: 'Resend the command under the same change id.',
  },
  queueFull: {
    number: 1202,
    status: 503,
    notRun: true,
    meaning: 'The bounded queue of proposals is full.',
    remedy: 'Retry later; look for a slow disk or a lost quorum if it lasts.',
  },
  commandTooLarge: {
    number: 1203,
    status: 413,
    notRun: true,
    meaning: 'A command is larger than the log accepts.',
    remedy: 'Split the command or raise maxCommandBytes on all replicas.',
  },
  leaseNotHeld: {
    number: 1204,
    status: 503,
    notRun: true,
    meaning: 'The leader does not hold its lease at present.',
    remedy: 'Retry after a heartbeat; look for a partition if it lasts.',
  },
  transferring: {
    number: 1205,
    status: 503,
    notRun: true,
    meaning: 'The leader is handing its leadership over.',
    remedy: 'Retry on the new leader.',
  },
  membershipBusy: {
    number: 1206,
    status: 409,
    notRun: true,
    meaning: 'Another change of the membership is not committed yet.',
    remedy: 'Retry after the change in progress.',
  },
  membershipInvalid: {
    number: 1207,
    status: 422,
    notRun: true,
    meaning: 'The change would leave the group without a voter, or names an unknown replica.',
    remedy: 'Look at the list of replicas and correct the change.',
  },
  stopped: {
    number: 1208,
    status: 503,
    notRun: true,
    meaning: 'The replica is stopped.',
    remedy: 'Ask another replica; look at the log for the cause.',
  },
  logDamaged: {
    number: 1209,
    status: 500,
    notRun: true,
    meaning: 'A file of the replica is damaged in a part that had been synced.',
    remedy: 'Move the data folder away and restart, so that the replica joins with an empty disk.',
  },
  diskFailed: {
    number: 1210,
    status: 500,
    notRun: 'unknown',
    meaning: 'A write or sync of the data folder failed; the replica stops.',
    remedy: 'Look at the disk; after a failed sync what was written can not be trusted.',
  },
  versionUnknown: {
    number: 1211,
    status: 500,
    notRun: true,
    meaning: 'A file was written by a newer version of the program.',
    remedy: 'Run the version that wrote it, or a newer one.',
  },
});
