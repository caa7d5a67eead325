import { defineCodes } from '@berylwood/base';

/** Result codes of links between processes (1100 to 1199). @public */
export const linkCodes = defineCodes({
  linkLost: {
    number: 1100,
    status: 503,
    notRun: 'unknown',
    meaning: 'The connection to another process closed before the answer came.',
    remedy: 'The process connects again by itself; look for a partition if it lasts.',
  },
  callFailed: {
    number: 1101,
    status: 500,
    notRun: 'unknown',
    meaning: 'The other process could not answer a call.',
    remedy: 'Look at the log of the other process.',
  },
});
