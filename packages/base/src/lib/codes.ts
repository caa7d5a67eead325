import { defineCodes } from './Code';

/** Result codes shared by all packages (1000 to 1099). @public */
export const baseCodes = defineCodes({
  internal: {
    number: 1000,
    status: 500,
    notRun: 'unknown',
    meaning: 'A fault of the program.',
    remedy: 'Report it with the log around it.',
  },
  timeout: {
    number: 1001,
    status: 504,
    notRun: 'unknown',
    meaning: 'No answer came in time.',
    remedy: 'Retry if the request is idempotent.',
  },
  closed: {
    number: 1002,
    status: 503,
    notRun: true,
    meaning: 'The part that was asked is shut down.',
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
