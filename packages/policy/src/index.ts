/** Pure decisions: time and randomness are arguments, nothing here does I/O. */
export type { Candidate, Decision, Ending, Job, LoadReport, QueuedAttempt } from './lib/Job';
export { Scheduler } from './lib/Scheduler';
export { RoundRobinScheduler } from './lib/RoundRobinScheduler';
