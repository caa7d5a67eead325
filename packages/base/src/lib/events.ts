import { defineEvents } from './LogEvent';

/** Log events of the base package (1000 to 1099). @public */
export const baseEvents = defineEvents({
  processStarted: {
    number: 1000,
    level: 'info',
    meaning: 'The process has started its roles.',
    action: 'none',
  },
  processStopping: {
    number: 1001,
    level: 'info',
    meaning: 'A graceful shutdown has begun.',
    action: 'none',
  },
  processStopped: {
    number: 1002,
    level: 'info',
    meaning: 'The process has ended its roles.',
    action: 'none',
  },
  childFailed: {
    number: 1003,
    level: 'error',
    meaning: 'A supervised task failed and is restarted.',
    action: 'Look for the cause in the error field; a repeated failure ends the process.',
  },
  loopDelayed: {
    number: 1004,
    level: 'warn',
    meaning: 'The event loop was held up for longer than its limit.',
    action: 'Look for a burst, a large snapshot or a busy machine at that time.',
  },
  settingsRefused: {
    number: 1005,
    level: 'error',
    meaning:
      'A settings file that has changed could not be read; the settings before stay in force.',
    action: 'Correct the file; the error names the line.',
  },
});
