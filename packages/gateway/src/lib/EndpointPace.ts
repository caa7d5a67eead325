import type { Journal, Timer } from '@berylwood/base';
import {
  RecoveryWindow,
  type RecoveryCounts,
  type RecoveryEnd,
  type RecoveryReport,
} from '@berylwood/policy';
import { gatewayEvents } from './events';
import type { EndpointId } from './ids';

/** Time for which what the leader has sent is used, in milliseconds: a few intervals of a large fleet. */
const VALID_MS = 1000;

/**
 * Time within which a leader replies to the first report of a recovery, in milliseconds: two rounds, and messages
 * that take half a second. A leader of an earlier version never does.
 */
const REPLY_MS = 1200;

/** Factor by which earlier wanted requests count less in each round of the exchange. */
const WANTED_DECAY = 0.5;

/**
 * Why a recovery began: the endpoint is new in the list, its ejection is over so that it is tried, or it answers
 * again, as seen here or elsewhere.
 * @internal
 */
export type RecoveryCause = 'started' | 'tried' | 'answered' | 'learnt';

/** @internal */
export interface EndpointPaceOptions {
  readonly endpoint: EndpointId;
  readonly timer: Timer;
  readonly journal: Journal;
  /** Whether endpoints are paced at all. */
  readonly isEnabled: () => boolean;
  /** Whether a leader is connected. */
  readonly hasLeader: () => boolean;
  /** Number of instances that share the endpoint. */
  readonly instances: () => number;
  readonly slots: () => number;
  /** Requests of this instance that are in flight. */
  readonly inFlight: () => number;
  /** Called at the end of a recovery. */
  readonly onEnd: (cause: RecoveryEnd, counts: RecoveryCounts) => void;
}

interface Recovery {
  readonly startedAt: number;
  counts: RecoveryCounts;
  wanted: number;
  canRetry: boolean;
  /** What the leader has last sent. */
  allotment: number;
  allottedAt: number;
  /** Window by the observations of this instance alone. */
  readonly own: RecoveryWindow;
}

/** How many requests this instance sends to an endpoint that has just started or answers again. @internal */
export class EndpointPace {
  readonly #options: EndpointPaceOptions;

  #recovery: Recovery | undefined;

  constructor(options: EndpointPaceOptions) {
    this.#options = options;
  }

  get isEnabled(): boolean {
    return this.#options.isEnabled();
  }

  get isRecovering(): boolean {
    return this.#recovery !== undefined;
  }

  /** Age of the recovery, in milliseconds. */
  get ageMs(): number {
    return this.#options.timer.now() - (this.#recovery?.startedAt ?? -Infinity);
  }

  /** Whether one more request is within the pace. */
  get allowsRequest(): boolean {
    return this.#recovery === undefined || this.#options.inFlight() < this.#allowed(this.#recovery);
  }

  begin(cause: RecoveryCause): void {
    const { timer, journal, endpoint, isEnabled } = this.#options;
    if (this.#recovery || !isEnabled()) return;
    const now = timer.now();
    this.#recovery = {
      startedAt: now,
      counts: { inTime: 0, late: 0, failed: 0 },
      wanted: 0,
      canRetry: true,
      allotment: 0,
      allottedAt: -Infinity,
      own: new RecoveryWindow(now, 1),
    };
    journal.record(gatewayEvents.recoveryBegan, { endpoint, cause });
  }

  /** Whether an ejection may end early; once in a recovery, since the endpoint may answer others alone. */
  takeRetry(): boolean {
    if (!this.#recovery?.canRetry) return false;
    this.#recovery.canRetry = false;
    return true;
  }

  /** Counts a first event, or a failed request. */
  observe(outcome: keyof RecoveryCounts): void {
    const recovery = this.#recovery;
    if (!recovery) return;
    recovery.counts = { ...recovery.counts, [outcome]: recovery.counts[outcome] + 1 };
    const one = { inTime: 0, late: 0, failed: 0, [outcome]: 1 };
    recovery.own.observe(one, this.#options.timer.now());
  }

  /** Counts a request that was not sent to the endpoint because of the pace. */
  passedOver(): void {
    if (this.#recovery) this.#recovery.wanted += 1;
  }

  /** What the leader needs; undefined without a recovery. */
  get report(): RecoveryReport | undefined {
    const recovery = this.#recovery;
    return (
      recovery && {
        ...recovery.counts,
        inFlight: this.#options.inFlight(),
        wanted: recovery.wanted,
      }
    );
  }

  /** Stores what the leader allots to this instance. */
  allot(allotment: number): void {
    if (!this.#recovery) return;
    this.#recovery.allotment = allotment;
    this.#recovery.allottedAt = this.#options.timer.now();
  }

  /** Ends a round of the exchange; without a leader, the window of this instance may end the recovery. */
  endRound(): void {
    const recovery = this.#recovery;
    if (!recovery) return;
    const { timer, slots, instances, inFlight } = this.#options;
    const share = Math.ceil(slots() / Math.max(1, instances())) + 1;
    recovery.own.update(inFlight() + recovery.wanted, share, timer.now());
    recovery.wanted *= WANTED_DECAY;
    const { end, size } = recovery.own;
    if (end !== undefined && this.#isAlone(recovery)) this.end(end, size);
  }

  /** Ends the recovery. @param window requests in flight that were allowed last, of all instances or of this one */
  end(cause: RecoveryEnd, window: number): void {
    const { journal, endpoint, onEnd } = this.#options;
    if (!this.#recovery) return;
    const durationMs = Math.round(this.ageMs);
    const { counts } = this.#recovery;
    this.#recovery = undefined;
    journal.record(gatewayEvents.recoveryEnded, { endpoint, cause, window, durationMs, ...counts });
    onEnd(cause, counts);
  }

  /** Whether no leader divides the window. */
  #isAlone({ allottedAt, startedAt }: Recovery): boolean {
    const { timer, hasLeader } = this.#options;
    const now = timer.now();
    if (now - allottedAt < VALID_MS) return false;
    return !hasLeader() || now - startedAt >= REPLY_MS;
  }

  #allowed(recovery: Recovery): number {
    return this.#isAlone(recovery) ? recovery.own.size : recovery.allotment;
  }
}
