import { defineEvents } from '@berylwood/base';

/** Log events of subscriptions to the control group (3500 to 3599). @public */
export const feedEvents = defineEvents({
  freshnessGained: {
    number: 3500,
    level: 'info',
    meaning: 'The process has applied all committed changes and accepts work.',
    action: 'none',
  },
  freshnessLost: {
    number: 3501,
    level: 'warn',
    meaning: 'The freshness lease has expired, and the process accepts no new work.',
    action: 'Check the connection to the control group and whether the group has a leader.',
  },
  configurationApplied: {
    number: 3502,
    level: 'info',
    meaning: 'The process has applied a revision of the configuration.',
    action: 'none',
  },
  keyWithdrawn: {
    number: 3503,
    level: 'info',
    meaning: 'The process rejects a withdrawn key from now on.',
    action: 'none',
  },
});
