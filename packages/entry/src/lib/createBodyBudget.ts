import {
  LineLimit,
  defaultBodyBudgetBytes,
  defaultMaxUnfinished,
  defaultRequestHeapBytes,
  type Journal,
  type Metrics,
  type Timer,
} from '@berylwood/base';
import { BodyBudget } from '@berylwood/policy';
import type { EntrySettings } from '@berylwood/schema';
import { entryEvents } from './events';

const MAX_LINES_PER_S = 10;

/** @internal */
export interface BodyBudgetParts {
  readonly settings: Pick<EntrySettings, 'bodyBudgetBytes' | 'maxUnfinishedBodies'>;
  readonly timer: Timer;
  readonly journal: Journal;
  readonly metrics: Metrics;
}

/** Creates the budget of an entry, by its settings or else by its memory and descriptors. @internal */
export function createBodyBudget({
  settings,
  timer,
  journal,
  metrics,
}: BodyBudgetParts): BodyBudget {
  const maxBytes = settings.bodyBudgetBytes ?? defaultBodyBudgetBytes();
  const maxUnfinished = settings.maxUnfinishedBodies ?? defaultMaxUnfinished(maxBytes);
  const help = 'Requests and responses that were ended because the body budget is spent, by kind';
  const ended = metrics.counter('bodies_ended_total', help, ['kind']);
  const lines = new LineLimit(timer, MAX_LINES_PER_S);
  const budget = new BodyBudget({
    maxBytes,
    maxHeapBytes: defaultRequestHeapBytes(),
    maxUnfinished,
    now: () => timer.now(),
    onEnded: ({ kind, bytes }) => {
      ended.inc({ kind });
      if (lines.take()) journal.record(entryEvents.bodyRejected, { bytes, held: budget.bytes });
    },
  });
  return budget;
}
