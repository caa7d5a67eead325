import { DisposableStore, unreachable, type Code, type Journal, type Timer } from '@berylwood/base';
import type { LocalQueue, QueueLoad } from '@berylwood/policy';
import {
  noWork,
  requestCodes,
  type AttemptId,
  type Configuration,
  type Dispatch,
  type EntryMessage,
  type IncarnationId,
} from '@berylwood/schema';
import { Attempt, type EntryLink } from './Attempt';
import type { AttemptRunner } from './AttemptRunner';
import type { Endpoint } from './Endpoint';
import { sidecarEvents } from './events';

/** Options of the attempt table. @internal */
export interface AttemptTableOptions {
  readonly incarnation: IncarnationId;
  readonly endpoint: Endpoint;
  readonly runner: AttemptRunner;
  readonly queue: LocalQueue;
  readonly timer: Timer;
  readonly journal: Journal;
  /** Returns the code with which new attempts are rejected, or undefined if they are accepted. */
  readonly rejectionCode: () => Code | undefined;
  /** Whether queued attempts may be forwarded to the endpoint now. */
  readonly canStart: () => boolean;
}

/** Number of ids of released attempts that are kept, to reject late duplicates. */
const MAX_RELEASED_IDS = 100_000;

const SWEEP_INTERVAL_MS = 500;

/** Time after which an attempt without an entry, or with a stalled reader, is abandoned. */
const ABANDON_TIMEOUT_MS = 15_000;

/** Minimum delay before the queue decides again. */
const MIN_DECISION_DELAY_MS = 1;

/** Attempts of a sidecar by id. Each id runs at most once. @internal */
export class AttemptTable implements Disposable {
  readonly #options: AttemptTableOptions;

  readonly #attempts = new Map<AttemptId, Attempt>();

  /** Ids of attempts that were removed from the table, with their outcomes. */
  readonly #released = new Map<AttemptId, 'never' | 'ran' | 'unknown'>();

  readonly #store = new DisposableStore();

  #decisionTimer: Disposable | undefined;

  constructor(options: AttemptTableOptions) {
    this.#options = options;
    this.#store.add(options.timer.every(SWEEP_INTERVAL_MS, () => this.#abandonStalled()));
  }

  /** Number of attempts that the entry has not released yet. */
  get openCount(): number {
    return this.#attempts.size;
  }

  get openIds(): AttemptId[] {
    return [...this.#attempts.keys()];
  }

  get load(): QueueLoad {
    return this.#options.queue.load();
  }

  configure(configuration: Configuration): void {
    this.#options.queue.configure(configuration);
  }

  receive(link: EntryLink, message: EntryMessage): void {
    switch (message.type) {
      case 'dispatch':
        this.#accept(link, message);
        break;
      case 'resume':
        this.#resume(link, message.attempt, message.offset);
        break;
      case 'ack':
        this.#attempts.get(message.attempt)?.acknowledge(message.offset);
        break;
      case 'cancel':
        this.#cancel(message.attempt);
        break;
      case 'revoke':
        this.#revoke(link, message.attempt);
        break;
      case 'release':
        this.#release(message.attempt);
        break;
      default:
        unreachable(message);
    }
  }

  detach(link: EntryLink): void {
    for (const attempt of this.#attempts.values()) attempt.detach(link);
  }

  [Symbol.dispose](): void {
    this.#store[Symbol.dispose]();
    this.#decisionTimer?.[Symbol.dispose]();
  }

  #accept(link: EntryLink, dispatch: Dispatch): void {
    const rejection = this.#rejectionCode(dispatch);
    const { attempt: id, request } = dispatch;
    if (rejection) {
      this.#reject(link, id, rejection);
      return;
    }
    const { timer, journal, queue } = this.#options;
    const attempt = new Attempt(dispatch, link, () => timer.now());
    attempt.onProgress = (tokens) => queue.progressed(id, tokens, timer.now());
    this.#attempts.set(id, attempt);
    journal.record(sidecarEvents.attemptAccepted, { request, attempt: id });
    const now = timer.now();
    const { workspace, tier, estimatedTokens, promptTokens } = dispatch;
    queue.offer(
      {
        attempt: id,
        workspace,
        class: dispatch.class,
        tier,
        estimatedTokens,
        promptTokens,
        arrivedAt: now,
        deadlineAt: now + dispatch.deadlineMs,
        isPreemptable: false,
      },
      now,
    );
    this.decide();
    if (this.#attempts.has(id)) link.send({ type: 'accepted', attempt: id });
  }

  /** Applies the current decisions of the queue and schedules the next run. */
  decide(): void {
    const { queue, timer, canStart } = this.#options;
    this.#decisionTimer?.[Symbol.dispose]();
    this.#decisionTimer = undefined;
    if (!canStart()) this.#rejectAllQueued();
    for (const decision of queue.decide(timer.now())) {
      const attempt = this.#attempts.get(decision.attempt);
      if (!attempt) continue;
      if (decision.type === 'start') this.#run(attempt);
      if (decision.type === 'refuse') this.#rejectQueued(attempt, decision.code);
    }
    const at = queue.nextAt(timer.now());
    if (at === undefined) return;
    this.#decisionTimer = timer.after(Math.max(MIN_DECISION_DELAY_MS, at - timer.now()), () =>
      this.decide(),
    );
  }

  #rejectionCode(dispatch: Dispatch): Code | undefined {
    const { attempt, incarnation, isSuspect } = dispatch;
    if (incarnation !== this.#options.incarnation) return requestCodes.attemptRefused;
    if (this.#attempts.has(attempt) || this.#released.has(attempt)) {
      return requestCodes.attemptRefused;
    }
    // If two suspects ran at the same time, a crash could not be attributed to one of them.
    if (isSuspect && this.#hasUnfinishedSuspect()) return requestCodes.attemptRefused;
    return this.#options.rejectionCode();
  }

  #hasUnfinishedSuspect(): boolean {
    const attempts = [...this.#attempts.values()];
    return attempts.some(({ dispatch, lifecycle }) => dispatch.isSuspect && !lifecycle.isFinal);
  }

  #reject(link: EntryLink | undefined, attempt: AttemptId, code: Code): void {
    this.#options.journal.record(sidecarEvents.attemptRefused, { attempt, code: code.name });
    link?.send({ type: 'refused', attempt, code: code.number, message: code.meaning }, true);
  }

  #rejectQueued(attempt: Attempt, code: Code): void {
    const { attempt: id } = attempt.dispatch;
    if (!attempt.lifecycle.send('refuse')) return;
    const { link } = attempt;
    this.#release(id);
    this.#reject(link, id, code);
  }

  /** Rejects all queued attempts: without a freshness lease none may start on the endpoint. */
  #rejectAllQueued(): void {
    const { queue, timer } = this.#options;
    for (const [id, attempt] of this.#attempts) {
      if (attempt.lifecycle.state !== 'queued') continue;
      queue.withdraw(id, timer.now());
      this.#rejectQueued(attempt, requestCodes.notFresh);
    }
  }

  #run(attempt: Attempt): void {
    const { runner, queue, timer } = this.#options;
    const { attempt: id } = attempt.dispatch;
    runner
      .run(attempt)
      .catch(() => {})
      .finally(() => {
        queue.ended(id, timer.now());
        if (attempt.lifecycle.state === 'cancelled') this.#release(id);
        this.decide();
      });
  }

  #resume(link: EntryLink, id: AttemptId, offset: number): void {
    const attempt = this.#attempts.get(id);
    if (attempt?.resume(link, offset)) return;
    const notRun = !attempt && this.#released.get(id) === 'never' ? true : 'unknown';
    const { number, meaning } = requestCodes.outcomeUnknown;
    link.send(
      {
        type: 'failed',
        attempt: id,
        code: number,
        message: meaning,
        notRun,
        work: noWork,
        sequence: 0,
      },
      true,
    );
  }

  #cancel(id: AttemptId): void {
    const attempt = this.#attempts.get(id);
    if (!attempt) return;
    const { lifecycle, dispatch, abort } = attempt;
    if (lifecycle.state === 'queued') this.#revokeQueued(attempt);
    else if (lifecycle.isFinal) this.#release(id);
    else if (dispatch.idempotent) {
      lifecycle.send('cancel');
      abort.abort();
      this.#options.endpoint.cancel(dispatch).catch(() => {});
    }
  }

  #revoke(link: EntryLink, id: AttemptId): void {
    const attempt = this.#attempts.get(id);
    let outcome = attempt?.lifecycle.note.revoked ?? this.#released.get(id) ?? 'never';
    if (attempt?.lifecycle.state === 'queued') this.#revokeQueued(attempt);
    if (!attempt && !this.#released.has(id)) this.#recordReleased(id, 'never');
    if (attempt && outcome === 'unknown') outcome = 'ran';
    link.send({ type: 'revoked', attempt: id, outcome }, true);
  }

  /** Removes an attempt that has not been forwarded and makes sure that it never will be. */
  #revokeQueued(attempt: Attempt): void {
    const { queue, timer } = this.#options;
    const { attempt: id } = attempt.dispatch;
    queue.withdraw(id, timer.now());
    attempt.lifecycle.send('revoke');
    this.#release(id);
  }

  #release(id: AttemptId): void {
    const attempt = this.#attempts.get(id);
    if (!attempt) return;
    if (!attempt.lifecycle.isFinal) return;
    attempt[Symbol.dispose]();
    this.#attempts.delete(id);
    const { revoked } = attempt.lifecycle.note;
    this.#recordReleased(id, revoked === 'running' ? 'unknown' : revoked);
  }

  #recordReleased(id: AttemptId, outcome: 'never' | 'ran' | 'unknown'): void {
    this.#released.set(id, outcome);
    if (this.#released.size <= MAX_RELEASED_IDS) return;
    const [oldest] = this.#released.keys();
    if (oldest) this.#released.delete(oldest);
  }

  /** Abandons attempts whose entry is disconnected or whose reader is stalled, to free their slots. */
  #abandonStalled(): void {
    const now = this.#options.timer.now();
    for (const attempt of this.#attempts.values()) {
      const { stalledSince = now, lifecycle, dispatch } = attempt;
      if (now - stalledSince < ABANDON_TIMEOUT_MS) continue;
      const { attempt: id, request } = dispatch;
      this.#options.journal.record(sidecarEvents.attemptAbandoned, { request, attempt: id });
      attempt.stalledSince = undefined;
      if (lifecycle.state === 'streaming' && !dispatch.idempotent) attempt.abort.abort();
      this.#cancel(id);
    }
    this.decide();
  }
}
