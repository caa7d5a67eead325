import { defineEvents } from '@berylwood/base';

/** Log events of the registry and the mesh (9200 to 9299). @public */
export const registryEvents = defineEvents({
  configurationApplied: {
    number: 9200,
    level: 'info',
    meaning: 'This instance has taken over a newer routing configuration.',
    action: 'none',
  },
  leaderChanged: {
    number: 9201,
    level: 'info',
    meaning: 'This instance knows another leader of the registry, or none.',
    action: 'None, unless none is known for longer than an election.',
  },
  replicaFailed: {
    number: 9202,
    level: 'error',
    meaning: 'The replica has stopped; it is opened again after a pause.',
    action: 'Look at the disk: it is full, stalled or damaged.',
  },
  membershipPlanned: {
    number: 9203,
    level: 'info',
    meaning: 'The leader gives a member of the registry another part.',
    action: 'none',
  },
  membershipRefused: {
    number: 9204,
    level: 'warn',
    meaning: 'A planned change of the membership was refused.',
    action: 'None: it is planned again. Look at the replicas if it lasts.',
  },
  windowClosed: {
    number: 9205,
    level: 'info',
    meaning: 'The counts of a usage window are frozen in the log.',
    action: 'none',
  },
  proposalFailed: {
    number: 9206,
    level: 'warn',
    meaning: 'A command was not committed, or it is unknown whether it was.',
    action: 'None: it is proposed again. Look for a lost quorum if it lasts.',
  },
  fetchFailed: {
    number: 9207,
    level: 'warn',
    meaning: 'A newer configuration was announced but could not be fetched.',
    action: 'None: another instance is asked.',
  },
  cacheFailed: {
    number: 9208,
    level: 'warn',
    meaning: 'The file with the configuration last in force could not be read or written.',
    action: 'None: the configuration comes from the replicas. Look at the disk.',
  },
});
