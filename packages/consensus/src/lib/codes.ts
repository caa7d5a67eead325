import { defineCodes } from '@berylwood/base';

/** Result codes of the replicated log (1200 to 1299). @public */
export const consensusCodes = defineCodes({
  notLeader: {
    number: 1200,
    status: 503,
    notRun: true,
    meaning: 'The replica is not the leader of its group.',
    remedy: 'Use the leader named in the status of the replica, or retry after an election.',
  },
  leadershipLost: {
    number: 1201,
    status: 503,
    notRun: 'unknown',
    meaning: 'The leader lost its leadership after it added the command to its log.',
    remedy: 'Resend the command under the same change id.',
  },
  queueFull: {
    number: 1202,
    status: 503,
    notRun: true,
    meaning: 'The bounded queue of proposals is full.',
    remedy: 'Retry later; check for a slow disk or a lost quorum if it persists.',
  },
  commandTooLarge: {
    number: 1203,
    status: 413,
    notRun: true,
    meaning: 'A command exceeds the maximum size.',
    remedy: 'Split the command or raise maxCommandBytes on all replicas.',
  },
  leaseNotHeld: {
    number: 1204,
    status: 503,
    notRun: true,
    meaning: 'The leader does not hold its lease.',
    remedy: 'Retry after a heartbeat; check for a network partition if it persists.',
  },
  transferring: {
    number: 1205,
    status: 503,
    notRun: true,
    meaning: 'The leader is transferring its leadership.',
    remedy: 'Retry on the new leader.',
  },
  membershipBusy: {
    number: 1206,
    status: 409,
    notRun: true,
    meaning: 'Another membership change is not committed yet.',
    remedy: 'Retry once that change is committed.',
  },
  membershipInvalid: {
    number: 1207,
    status: 422,
    notRun: true,
    meaning:
      'The replica is unknown, its kind does not allow the change, or too few voters would remain.',
    remedy: 'Check the list of replicas and correct the change.',
  },
  stopped: {
    number: 1208,
    status: 503,
    notRun: true,
    meaning: 'The replica is stopped.',
    remedy: 'Use another replica; the log of this one gives the cause.',
  },
  logDamaged: {
    number: 1209,
    status: 500,
    notRun: true,
    meaning: 'A synced file of the replica is damaged, missing or belongs to another replica.',
    remedy: 'Move the data directory away and restart; the replica joins again with an empty disk.',
  },
  diskFailed: {
    number: 1210,
    status: 500,
    notRun: 'unknown',
    meaning: 'A read, write or sync in the data directory failed; the replica stops.',
    remedy: 'Check the disk; after a failed sync, written data cannot be trusted.',
  },
  versionUnknown: {
    number: 1211,
    status: 500,
    notRun: true,
    meaning: 'A file was written by a newer version of the program.',
    remedy: 'Run the version that wrote it, or a newer one.',
  },
});
