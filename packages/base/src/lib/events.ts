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
    meaning: 'A graceful shutdown has started.',
    action: 'none',
  },
  processStopped: {
    number: 1002,
    level: 'info',
    meaning: 'The process has stopped its roles.',
    action: 'none',
  },
  childFailed: {
    number: 1003,
    level: 'error',
    meaning: 'A supervised task failed and is restarted.',
    action: 'Check the error field for the cause; repeated failures stop the process.',
  },
  loopDelayed: {
    number: 1004,
    level: 'warn',
    meaning: 'The event loop was blocked for longer than its limit.',
    action: 'Check for a burst of requests, a large snapshot or a busy machine at that time.',
  },
  settingsRefused: {
    number: 1005,
    level: 'error',
    meaning: 'A changed settings file could not be read; the previous settings stay in force.',
    action: 'Correct the file; the error field names the line.',
  },
});
