import { defineEvents } from '@berylwood/base';

/** Log events of the registry and the mesh (9200 to 9299). @public */
export const registryEvents = defineEvents({
  configurationApplied: {
    number: 9200,
    level: 'info',
    meaning: 'This instance has applied a newer routing configuration.',
    action: 'none',
  },
  leaderChanged: {
    number: 9201,
    level: 'info',
    meaning: 'The leader of the registry has changed, or none is known to this instance.',
    action: 'None, unless no leader is known for longer than an election takes.',
  },
  replicaFailed: {
    number: 9202,
    level: 'error',
    meaning: 'The replica has stopped; it is reopened after a delay.',
    action: 'Check the disk: it is full, stalled or damaged.',
  },
  membershipPlanned: {
    number: 9203,
    level: 'info',
    meaning: 'The leader promotes, demotes or removes a member of the registry.',
    action: 'none',
  },
  membershipRefused: {
    number: 9204,
    level: 'warn',
    meaning: 'A planned membership change was rejected.',
    action: 'None: it is planned again. Check the replicas if it persists.',
  },
  windowClosed: {
    number: 9205,
    level: 'info',
    meaning: 'The counts of a usage window were committed to the log and are final.',
    action: 'none',
  },
  proposalFailed: {
    number: 9206,
    level: 'warn',
    meaning: 'A command was not committed, or its outcome is unknown.',
    action: 'None: it is proposed again. Check for a lost quorum if it persists.',
  },
  fetchFailed: {
    number: 9207,
    level: 'warn',
    meaning: 'A newer configuration was announced but could not be fetched.',
    action: 'None: it is fetched from another instance.',
  },
  cacheFailed: {
    number: 9208,
    level: 'warn',
    meaning:
      'The cache file of the configuration or of the evacuations could not be read or written.',
    action: 'None: the state is loaded from the replicas, and a write is repeated. Check the disk.',
  },
  originsUnavailable: {
    number: 9209,
    level: 'warn',
    meaning: 'The version of new streams is not stored on enough disks; take-ups may be refused.',
    action: 'Check the disks of the replicas, and the links to them.',
  },
  originsAvailable: {
    number: 9210,
    level: 'info',
    meaning: 'The version of new streams is stored on enough disks again.',
    action: 'none',
  },
  originFileDamaged: {
    number: 9211,
    level: 'warn',
    meaning: 'Part of a file of stream origins is damaged or unreadable and was skipped.',
    action: 'None after a loss of power. Check the disk otherwise.',
  },
  originDiskFailed: {
    number: 9212,
    level: 'warn',
    meaning: 'Stream origins can not be written to the disk of this instance; they are in memory.',
    action: 'Check the disk: it is full, stalled or damaged.',
  },
  originDiskRecovered: {
    number: 9213,
    level: 'info',
    meaning: 'Stream origins are written to the disk of this instance again.',
    action: 'none',
  },
});
