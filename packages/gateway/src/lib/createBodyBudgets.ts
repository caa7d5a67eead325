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

/** What operators, readiness checks and peers may hold, as a part of what callers may. */
const OPERATOR_SHARE = 3 / 4;

/** Requests of operators, readiness checks and peers at the same time, as a part of those of callers. */
const OPERATOR_REQUEST_SHARE = 1 / 4;

/** @internal */
export interface BodyBudgetParts {
  readonly settings: Pick<GatewaySettings, 'bodyBudgetBytes' | 'maxUnfinishedBodies'>;
  readonly timer: Timer;
  readonly journal: Journal;
  readonly metrics: Metrics;
}

/** The budgets of an instance. @internal */
export interface BodyBudgets {
  readonly callers: BodyBudget;
  /** For operators, readiness checks and peers, so that callers can't take what these need. */
  readonly operators: BodyBudget;
}

/** Creates the budgets of an instance, by its settings or else by its memory and descriptors. @internal */
export function createBodyBudgets({
  settings,
  timer,
  journal,
  metrics,
}: BodyBudgetParts): BodyBudgets {
  const maxBytes = settings.bodyBudgetBytes ?? defaultBodyBudgetBytes();
  const maxUnfinished = settings.maxUnfinishedBodies ?? defaultMaxUnfinished(maxBytes);
  const maxHeapBytes = defaultRequestHeapBytes();
  const help = 'Requests and responses that were ended because the body budget is spent, by kind';
  const ended = metrics.counter('bodies_ended_total', help, ['kind']);
  const lines = new LineLimit(timer, MAX_LINES_PER_S);
  const create = (bytesShare: number, requestShare: number): BodyBudget => {
    const budget: BodyBudget = new BodyBudget({
      maxBytes: maxBytes * bytesShare,
      maxHeapBytes: maxHeapBytes * requestShare,
      maxUnfinished: maxUnfinished * requestShare,
      now: () => timer.now(),
      onEnded: ({ kind, bytes, heapBytes, startedAt }) => {
        ended.inc({ kind });
        if (!lines.take()) return;
        const ageMs = Math.round(timer.now() - startedAt);
        const held = { held: budget.bytes, heldHeap: budget.heapBytes };
        journal.record(memoryEvents.bodyEnded, { kind, bytes, heapBytes, ageMs, ...held });
      },
    });
    return budget;
  };
  const callers = create(1, 1);
  const operators = create(OPERATOR_SHARE, OPERATOR_REQUEST_SHARE);
  const bytesHelp = 'Bytes of requests and responses held for callers';
  metrics.readGauge('body_bytes', bytesHelp, () => callers.bytes);
  const heapHelp = 'Bytes of the heap that requests of callers take';
  metrics.readGauge('request_heap_bytes', heapHelp, () => callers.heapBytes);
  const unfinishedHelp = 'Requests that have not arrived completely';
  metrics.readGauge('unfinished_bodies', unfinishedHelp, () => callers.unfinished);
  journal.record(memoryEvents.memoryLimited, { maxBytes, maxHeapBytes, maxUnfinished });
  return { callers, operators };
}
