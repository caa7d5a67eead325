import { defineCodes } from '@berylwood/base';

/** Result codes of links between processes (1100 to 1199). @public */
export const linkCodes = defineCodes({
  linkLost: {
    number: 1100,
    status: 503,
    notRun: 'unknown',
    meaning: 'The connection to another process closed, or no reply arrived in time.',
    remedy: 'The process reconnects by itself; check for a network partition if it persists.',
  },
  callFailed: {
    number: 1101,
    status: 500,
    notRun: 'unknown',
    meaning: 'The other process failed to handle a call.',
    remedy: 'Check the log of the other process.',
  },
});
