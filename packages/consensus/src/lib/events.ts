import { defineEvents } from '@berylwood/base';

/** Log events of the replicated log (1200 to 1299). @public */
export const consensusEvents = defineEvents({
  replicaOpened: {
    number: 1200,
    level: 'info',
    meaning: 'The replica has read its disk and started.',
    action: 'none',
  },
  roleChanged: {
    number: 1201,
    level: 'info',
    meaning: 'The role of the replica has changed.',
    action: 'none; check for a network partition or an overloaded machine if it recurs.',
  },
  termStarted: {
    number: 1202,
    level: 'debug',
    meaning: 'The replica has moved to a newer term.',
    action: 'none',
  },
  groupFounded: {
    number: 1203,
    level: 'info',
    meaning: 'The replica has founded a new group.',
    action: 'none; must occur only once per group.',
  },
  membershipCommitted: {
    number: 1204,
    level: 'info',
    meaning: 'A membership change is committed.',
    action: 'none',
  },
  joinRequested: {
    number: 1205,
    level: 'info',
    meaning: 'A replica with a new disk requests to join the group.',
    action: 'none; admit its name if it is expected.',
  },
  tailCut: {
    number: 1206,
    level: 'warn',
    meaning:
      'The log ended with an incomplete write, as after a crash, and was truncated before it.',
    action: 'none',
  },
  snapshotWritten: {
    number: 1207,
    level: 'debug',
    meaning: 'A snapshot is durable and the log before it was compacted.',
    action: 'none',
  },
  snapshotInstalled: {
    number: 1208,
    level: 'info',
    meaning: 'The replica has replaced its state with a snapshot from the leader.',
    action: 'none; check for a slow replica if it recurs.',
  },
  quorumLost: {
    number: 1209,
    level: 'warn',
    meaning: 'The leader has not received replies from a quorum in time and steps down.',
    action: 'Check for a network partition.',
  },
  replicaStopped: {
    number: 1210,
    level: 'error',
    meaning: 'The replica stopped because of a failure.',
    action: 'Follow the remedy for the result code in the fields.',
  },
  termConflict: {
    number: 1211,
    level: 'error',
    meaning: 'Another replica claims to lead the term that this replica leads.',
    action: 'Two replicas share an incarnation: check for a copied data directory.',
  },
  transferStarted: {
    number: 1212,
    level: 'info',
    meaning:
      'The leader transfers its leadership to a voter; another one is tried if it does not take over.',
    action: 'none',
  },
  joinPending: {
    number: 1213,
    level: 'warn',
    meaning:
      'A replica with an empty disk is still not a member of a group and keeps requesting it.',
    action:
      'Check that one of the contacted replicas reaches the leader, and that the group may admit this replica.',
  },
  diskSlow: {
    number: 1214,
    level: 'warn',
    meaning:
      'Writes of this replica took long to become durable; at most one line a second, with the longest.',
    action: 'Check the disk: elections and changes of the membership wait for several writes.',
  },
});
