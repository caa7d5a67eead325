import { requestCodes, type AttemptId, type Configuration } from '@berylwood/schema';
import type { QueuedAttempt } from '../Job';
import { DrainRate } from '../queue/DrainRate';
import { FairQueue } from '../queue/FairQueue';
import { MinimumShare } from '../queue/MinimumShare';
import { shareOf } from '../shareOf';
import { AttemptItem } from './AttemptItem';
import {
  LocalQueue,
  type LocalDecision,
  type LocalQueueOptions,
  type QueueLoad,
} from './LocalQueue';
import { selectVictim } from './selectVictim';

/** Wait before lower-tier work is preempted, in milliseconds, so that free slots are used first. */
const PREEMPTION_DELAY_MS = 20;

const DEFAULT_MAX_PREEMPTIONS = 3;

const DEFAULT_RETRY_AFTER_MS = 1_000;

const MIN_RETRY_AFTER_MS = 50;

const MAX_RETRY_AFTER_MS = 60_000;

/**
 * Strict tiers with a guaranteed minimum share for each class, and fair queueing between workspaces
 * within a tier. A full queue rejects the youngest attempt of its lowest tier. An attempt without a
 * free slot preempts a running one of the lowest tier below its own, which is resumed later.
 * @public
 */
export class FairLocalQueue extends LocalQueue {
  readonly #items = new Map<AttemptId, AttemptItem>();

  readonly #tiers = new Map<number, FairQueue<AttemptItem>>();

  readonly #minimumShare = new MinimumShare();

  readonly #drainRate = new DrainRate();

  readonly #options: Required<LocalQueueOptions>;

  #configuration: Configuration | undefined;

  #generation = 0;

  constructor(options: LocalQueueOptions) {
    super();
    this.#options = { lookahead: 0, maxPreemptions: DEFAULT_MAX_PREEMPTIONS, ...options };
  }

  override configure(configuration: Configuration): void {
    this.#configuration = configuration;
    this.#minimumShare.configure(configuration.classes);
  }

  override offer(attempt: QueuedAttempt, now: number): void {
    const share = attempt.share ?? shareOf(this.#configuration, attempt.workspace);
    const item = new AttemptItem(attempt, share, now);
    this.#items.set(attempt.attempt, item);
    this.#queueOf(item.tier).add(item);
    this.#minimumShare.arrived(attempt.class, item.work, now);
  }

  override withdraw(attempt: AttemptId): boolean {
    const item = this.#items.get(attempt);
    if (item?.phase === 'waiting') {
      this.#remove(item);
      return true;
    }
    if (item?.phase === 'suspended') this.#items.delete(attempt);
    return false;
  }

  override progressed(attempt: AttemptId, answerTokens: number): void {
    const item = this.#items.get(attempt);
    if (!item) return;
    item.answerTokens = answerTokens;
    const excess = item.doneTokens - item.charged;
    if (excess > 0) this.#charge(item, excess);
  }

  override ended(attempt: AttemptId): void {
    const item = this.#items.get(attempt);
    if (!item || item.isWaiting) return;
    this.#charge(item, item.doneTokens - item.charged);
    item.enter('gone');
    this.#items.delete(attempt);
  }

  override preempted(attempt: AttemptId, now: number): void {
    const item = this.#items.get(attempt);
    if (item?.phase !== 'stopping') return;
    item.enter('suspended');
    item.queuedAt = now;
  }

  override decide(now: number): LocalDecision[] {
    return [
      ...this.#rejectExpired(now),
      ...this.#start(now),
      ...this.#rejectExcess(now),
      ...this.#preempt(now),
    ];
  }

  override nextAt(now: number): number | undefined {
    let next = Infinity;
    for (const item of this.#items.values()) {
      if (item.holdsSlot) continue;
      const preemptsAt = item.queuedAt + PREEMPTION_DELAY_MS;
      if (preemptsAt > now) next = Math.min(next, preemptsAt);
      if (item.isWaiting) next = Math.min(next, item.attempt.deadlineAt);
      const dueAt = this.#minimumShare.dueAt(item.attempt.class);
      if (dueAt > now) next = Math.min(next, dueAt);
    }
    return next === Infinity ? undefined : next;
  }

  override load(): QueueLoad {
    this.#generation += 1;
    let waitingTier = 0;
    let runningTier = 0;
    let running = 0;
    for (const item of this.#items.values()) {
      if (item.holdsSlot) {
        running += 1;
        if (item.isPreemptable(this.#options.maxPreemptions)) {
          runningTier = Math.max(runningTier, item.tier);
        }
      } else if (waitingTier === 0 || item.tier < waitingTier) waitingTier = item.tier;
    }
    const { slots, lookahead } = this.#options;
    const waiting = this.#items.size - running;
    const credits = Math.max(0, slots + lookahead - running - waiting);
    return {
      slots,
      running,
      waiting,
      waitingTier,
      runningTier,
      credits,
      generation: this.#generation,
    };
  }

  #rejectExpired(now: number): LocalDecision[] {
    const expired = [...this.#items.values()].filter(
      (item) => item.isWaiting && now >= item.attempt.deadlineAt,
    );
    return expired.map((item) => this.#reject(item, now));
  }

  #start(now: number): LocalDecision[] {
    const decisions: LocalDecision[] = [];
    let free = this.#options.slots - this.#running().length;
    while (free > 0) {
      const item = this.#nextGuaranteed(now) ?? this.#nextByTier(now);
      if (!item) break;
      decisions.push(this.#startOne(item, now));
      free -= 1;
    }
    this.#drainRate.setSaturated(this.#items.size > this.#running().length, now);
    return decisions;
  }

  #startOne(item: AttemptItem, now: number): LocalDecision {
    const isResumed = item.phase === 'suspended';
    if (!isResumed) {
      this.#queueOf(item.tier).remove(item);
      this.#charge(item, item.work);
      this.#drainRate.served(item.work, now);
    }
    item.enter('running');
    const isStillWaiting = [...this.#items.values()].some(
      (other) => !other.holdsSlot && other.attempt.class === item.attempt.class,
    );
    this.#minimumShare.served(item.attempt.class, isResumed ? 0 : item.work, now, isStillWaiting);
    return { type: 'start', attempt: item.attempt.attempt, isResumed };
  }

  /** The oldest attempt of a class below its guaranteed minimum share. */
  #nextGuaranteed(now: number): AttemptItem | undefined {
    const waiting = [...this.#items.values()].filter(({ holdsSlot }) => !holdsSlot);
    const due = waiting.find(({ attempt, work }) =>
      this.#minimumShare.isDue(attempt.class, work, now),
    );
    if (!due) return undefined;
    due.isGuaranteed = waiting.some(({ tier }) => tier < due.tier);
    return due;
  }

  /** The next attempt of the highest waiting tier. Suspended ones come first within their tier. */
  #nextByTier(now: number): AttemptItem | undefined {
    let suspended: AttemptItem | undefined;
    for (const item of this.#items.values()) {
      if (item.phase !== 'suspended') continue;
      if (!suspended || item.tier < suspended.tier) suspended = item;
    }
    for (const [tier, queue] of this.#tiers) {
      if (suspended && suspended.tier <= tier) return suspended;
      if (queue.waiting > 0) return queue.peek(now);
    }
    return suspended;
  }

  #rejectExcess(now: number): LocalDecision[] {
    const decisions: LocalDecision[] = [];
    const tiers = [...this.#tiers.values()].reverse();
    let waiting = tiers.reduce((sum, queue) => sum + queue.waiting, 0);
    for (const queue of tiers) {
      while (waiting > this.#options.capacity && queue.waiting > 0) {
        decisions.push(this.#reject(queue.nextToShed() as AttemptItem, now));
        waiting -= 1;
      }
    }
    return decisions;
  }

  #reject(item: AttemptItem, now: number): LocalDecision {
    this.#remove(item);
    const retryAfterMs = this.#retryAfterMs(item.tier, now);
    return {
      type: 'refuse',
      attempt: item.attempt.attempt,
      code: requestCodes.overloaded,
      retryAfterMs,
    };
  }

  /** Time to drain the work that precedes a new attempt of the tier, in milliseconds. */
  #retryAfterMs(tier: number, now: number): number {
    const rate = this.#drainRate.get(now);
    if (!rate) return DEFAULT_RETRY_AFTER_MS;
    let backlog = 0;
    for (const [other, queue] of this.#tiers) if (other <= tier) backlog += queue.backlog;
    const drainMs = Math.ceil((backlog / rate) * 1000);
    return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, drainMs));
  }

  /** Preempts one attempt for each waiting one of a higher tier for which no slot will be free. */
  #preempt(now: number): LocalDecision[] {
    const decisions: LocalDecision[] = [];
    const running = this.#running();
    let availableSlots = this.#options.slots - running.length;
    availableSlots += running.filter(({ phase }) => phase === 'stopping').length;
    const waiting = [...this.#items.values()]
      .filter((item) => !item.holdsSlot && now >= item.queuedAt + PREEMPTION_DELAY_MS)
      .sort((a, b) => a.tier - b.tier);
    for (const item of waiting) {
      availableSlots -= 1;
      if (availableSlots >= 0) continue;
      const victim = selectVictim(running, item.tier, this.#options.maxPreemptions);
      if (!victim) break;
      victim.enter('stopping');
      victim.preemptions += 1;
      decisions.push({ type: 'preempt', attempt: victim.attempt.attempt });
    }
    return decisions;
  }

  #remove(item: AttemptItem): void {
    item.enter('gone');
    this.#queueOf(item.tier).remove(item);
    this.#items.delete(item.attempt.attempt);
  }

  #charge(item: AttemptItem, work: number): void {
    this.#queueOf(item.tier).charge(item.workspace, item.share, work);
    item.charged += work;
  }

  #running(): AttemptItem[] {
    return [...this.#items.values()].filter((item) => item.holdsSlot);
  }

  #queueOf(tier: number): FairQueue<AttemptItem> {
    const known = this.#tiers.get(tier);
    if (known) return known;
    const queue = new FairQueue<AttemptItem>();
    const sorted = [...this.#tiers, [tier, queue] as const].sort(([a], [b]) => a - b);
    this.#tiers.clear();
    for (const [number, item] of sorted) this.#tiers.set(number, item);
    return queue;
  }
}
