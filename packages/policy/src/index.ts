/** Pure decisions: time and randomness are arguments, nothing here does I/O. */
export type { Candidate, Decision, Ending, Job, LoadReport, QueuedAttempt } from './lib/Job';
export { Scheduler } from './lib/Scheduler';
export { RoundRobinScheduler } from './lib/RoundRobinScheduler';
export { LeastLoadScheduler } from './lib/LeastLoadScheduler';
export { FairScheduler, type FairSchedulerOptions } from './lib/FairScheduler';
export { Router, type RouterOptions } from './lib/routing/Router';
export {
  LocalQueue,
  type LocalDecision,
  type LocalQueueOptions,
  type QueueLoad,
} from './lib/local/LocalQueue';
export { FairLocalQueue } from './lib/local/FairLocalQueue';
export { FifoLocalQueue } from './lib/local/FifoLocalQueue';
export { OutlierDetector, type OutlierOptions } from './lib/health/OutlierDetector';
export { CircuitBreaker, type BreakerOptions } from './lib/health/CircuitBreaker';
