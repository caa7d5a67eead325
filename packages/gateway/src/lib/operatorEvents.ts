import { defineEvents } from '@berylwood/base';

/** Log events about calls of operators (9120 to 9129). @public */
export const operatorEvents = defineEvents({
  configurationRead: {
    number: 9120,
    level: 'info',
    meaning:
      'The response to a read of the configuration ended: it was sent, or its caller left before that.',
    action: 'See OPERATIONS.md, "Reads of the configuration", if callers leave.',
  },
});
