/**
 * Common building blocks of all packages: ids, result codes, disposables, timers, tasks,
 * supervision, log events and metrics.
 */
export { InvariantError, assert, required, unreachable } from './lib/assert';
export { asId, createId, type Id } from './lib/id';
export { defineCodes, findCode, listCodes, type Code, type NotRun } from './lib/Code';
export { Failure, fail, type FailureDetails } from './lib/Failure';
export { baseCodes } from './lib/codes';
export { DisposableStore } from './lib/DisposableStore';
export { Timer } from './lib/Timer';
export { SystemTimer } from './lib/SystemTimer';
export { VirtualTimer } from './lib/VirtualTimer';
export { Random } from './lib/Random';
export { Lifecycle, LifecycleTable, type LifecycleState } from './lib/Lifecycle';
export { Mailbox } from './lib/Mailbox';
export { Task } from './lib/Task';
export {
  Supervisor,
  type ChildFactory,
  type Strategy,
  type SupervisorOptions,
} from './lib/Supervisor';
export { defineEvents, listEvents, type Level, type LogEvent } from './lib/LogEvent';
export { baseEvents } from './lib/events';
export { HybridClock, compareStamps, type Stamp } from './lib/HybridClock';
export {
  Journal,
  createSilentJournal,
  type JournalOptions,
  type JournalRecord,
} from './lib/Journal';
export { Metrics } from './lib/Metrics';
export { LineLimit } from './lib/LineLimit';
export { ChunkBuffer } from './lib/ChunkBuffer';
export {
  defaultBodyBudgetBytes,
  defaultMaxUnfinished,
  defaultRequestHeapBytes,
  maxDescriptors,
} from './lib/processLimits';
