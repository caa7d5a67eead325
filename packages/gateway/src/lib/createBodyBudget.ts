import {
  defaultBodyBudgetBytes,
  defaultMaxUnfinished,
  defaultRequestHeapBytes,
  LineLimit,
  type Journal,
  type Metrics,
  type Timer,
} from '@berylwood/base';
import { BodyBudget } from '@berylwood/policy';
import type { GatewaySettings } from '@berylwood/schema';
import { memoryEvents } from './memoryEvents';

const MAX_LINES_PER_S = 10;

/** @internal */
export interface BodyBudgetParts {
  readonly settings: Pick<GatewaySettings, 'bodyBudgetBytes' | 'maxUnfinishedBodies'>;
  readonly timer: Timer;
  readonly journal: Journal;
  readonly metrics: Metrics;
}

/** Creates the budget of an instance, by its settings or else by its memory and descriptors. @internal */
export function createBodyBudget({
  settings,
  timer,
  journal,
  metrics,
}: BodyBudgetParts): BodyBudget {
  const maxBytes = settings.bodyBudgetBytes ?? defaultBodyBudgetBytes();
  const maxUnfinished = settings.maxUnfinishedBodies ?? defaultMaxUnfinished(maxBytes);
  const maxHeapBytes = defaultRequestHeapBytes();
  const help = 'Requests and responses that were ended because the body budget is spent, by kind';
  const ended = metrics.counter('bodies_ended_total', help, ['kind']);
  const lines = new LineLimit(timer, MAX_LINES_PER_S);
  const budget = new BodyBudget({
    maxBytes,
    maxHeapBytes,
    maxUnfinished,
    now: () => timer.now(),
    onEnded: ({ kind, bytes, heapBytes, startedAt }) => {
      ended.inc({ kind });
      if (!lines.take()) return;
      const ageMs = Math.round(timer.now() - startedAt);
      const held = { held: budget.bytes, heldHeap: budget.heapBytes };
      journal.record(memoryEvents.bodyEnded, { kind, bytes, heapBytes, ageMs, ...held });
    },
  });
  const bytesHelp = 'Bytes of requests and responses held for callers';
  metrics.readGauge('body_bytes', bytesHelp, () => budget.bytes);
  const heapHelp = 'Bytes of the heap that requests take';
  metrics.readGauge('request_heap_bytes', heapHelp, () => budget.heapBytes);
  const unfinishedHelp = 'Requests that have not arrived completely';
  metrics.readGauge('unfinished_bodies', unfinishedHelp, () => budget.unfinished);
  journal.record(memoryEvents.memoryLimited, { maxBytes, maxHeapBytes, maxUnfinished });
  return budget;
}
