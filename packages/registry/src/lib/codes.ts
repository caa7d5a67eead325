import { defineCodes } from '@berylwood/base';

/** Result codes of the registry (9200 to 9299). @public */
export const registryCodes = defineCodes({
  leaderUnknown: {
    number: 9200,
    status: 503,
    notRun: true,
    meaning: 'No leader of the registry is known or reachable.',
    remedy: 'Retry on another instance, or after an election.',
  },
  replicaClosed: {
    number: 9201,
    status: 503,
    notRun: true,
    meaning: 'The replica of this instance is closed or is being reopened after a disk failure.',
    remedy: 'Retry on another instance; check the disk if it persists.',
  },
  leaderOutdated: {
    number: 9202,
    status: 503,
    notRun: true,
    meaning: 'The leader of the registry runs an earlier version, which does not know the call.',
    remedy: 'Complete the update of all instances, then retry.',
  },
});
