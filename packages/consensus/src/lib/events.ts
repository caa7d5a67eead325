import { defineEvents } from '@berylwood/base';

/** Log events of the replicated log (1200 to 1299). @public */
export const consensusEvents = defineEvents({
  replicaOpened: {
    number: 1200,
    level: 'info',
    meaning: 'A replica has read its disk and takes part in its group.',
    action: 'none',
  },
  roleChanged: {
    number: 1201,
    level: 'info',
    meaning: 'The role of the replica has changed.',
    action: 'none; look for a partition or a busy machine if it recurs.',
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
    action: 'none; must be seen once in the life of a group.',
  },
  membershipCommitted: {
    number: 1204,
    level: 'info',
    meaning: 'A change of the membership is committed.',
    action: 'none',
  },
  joinRequested: {
    number: 1205,
    level: 'info',
    meaning: 'A replica with a new disk asks to join the group.',
    action: 'none; admit its name if it is expected.',
  },
  tailCut: {
    number: 1206,
    level: 'warn',
    meaning: 'The log ended in a write that a crash had interrupted; it was cut.',
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
    meaning: 'The replica has taken its state from a snapshot of the leader.',
    action: 'none; look for a slow replica if it recurs.',
  },
  quorumLost: {
    number: 1209,
    level: 'warn',
    meaning: 'The leader has not heard from a quorum and steps down.',
    action: 'Look for a partition.',
  },
  replicaStopped: {
    number: 1210,
    level: 'error',
    meaning: 'The replica stopped because of a failure.',
    action: 'Look at the code in the fields and its remedy.',
  },
  termConflict: {
    number: 1211,
    level: 'error',
    meaning: 'Another replica claims to lead the term that this replica leads.',
    action: 'Two replicas share an incarnation: look for a copied data folder.',
  },
  transferStarted: {
    number: 1212,
    level: 'info',
    meaning: 'The leader hands its leadership over.',
    action: 'none',
  },
});
