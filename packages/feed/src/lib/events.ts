import { defineEvents } from '@berylwood/base';

/** Log events of subscriptions to the control group (3500 to 3599). @public */
export const feedEvents = defineEvents({
  freshnessGained: {
    number: 3500,
    level: 'info',
    meaning: 'The process has applied everything committed and takes work.',
    action: 'none',
  },
  freshnessLost: {
    number: 3501,
    level: 'warn',
    meaning: 'The process can not prove that its state is current and takes no new work.',
    action: 'Check the connection to the control group and whether the group has a leader.',
  },
  configurationApplied: {
    number: 3502,
    level: 'info',
    meaning: 'A revision of the configuration is in force in this process.',
    action: 'none',
  },
  keyWithdrawn: {
    number: 3503,
    level: 'info',
    meaning: 'A withdrawn key is refused from now on in this process.',
    action: 'none',
  },
});
