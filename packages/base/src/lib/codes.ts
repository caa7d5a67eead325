import { defineCodes } from './Code';

/** Result codes shared by all packages (1000 to 1099). @public */
export const baseCodes = defineCodes({
  internal: {
    number: 1000,
    status: 500,
    notRun: 'unknown',
    meaning: 'An internal error of the program.',
    remedy: 'Report it with the log lines around the error.',
  },
  timeout: {
    number: 1001,
    status: 504,
    notRun: 'unknown',
    meaning: 'No reply arrived within the time limit.',
    remedy: 'Retry if the request is idempotent.',
  },
  closed: {
    number: 1002,
    status: 503,
    notRun: true,
    meaning: 'The component that received the request has shut down.',
    remedy: 'Retry on another instance.',
  },
  overflow: {
    number: 1003,
    status: 503,
    notRun: true,
    meaning: 'A bounded queue is full.',
    remedy: 'Retry later.',
  },
});
