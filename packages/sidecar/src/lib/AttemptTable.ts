import { unreachable, type Code, type Journal, type Timer } from '@berylwood/base';
import {
  noWork,
  requestCodes,
  type AttemptId,
  type Dispatch,
  type EntryMessage,
  type IncarnationId,
  type SidecarMessage,
} from '@berylwood/schema';
import { Attempt, type EntryLink } from './Attempt';
import type { Endpoint } from './Endpoint';
import { sidecarEvents } from './events';
import type { Meter } from './Meter';

/** Options of the attempt table. @internal */
export interface AttemptTableOptions {
  readonly incarnation: IncarnationId;
  readonly endpoint: Endpoint;
  readonly meter: Meter;
  readonly timer: Timer;
  readonly journal: Journal;
  readonly slots: number;
  readonly queue: number;
  /** Whether new attempts may be taken now. */
  readonly mayStart: () => boolean;
}

/** Identities of released attempts kept, so that a late copy is refused. */
const KEPT_RELEASED = 100_000;

/** All attempts of a sidecar: each identity runs at most once. @internal */
export class AttemptTable {
  readonly slots: number;

  readonly #options: AttemptTableOptions;

  readonly #attempts = new Map<AttemptId, Attempt>();

  readonly #released = new Set<AttemptId>();

  #queue: Attempt[] = [];

  #running = 0;

  constructor(options: AttemptTableOptions) {
    this.#options = options;
    this.slots = options.slots;
  }

  get runningCount(): number {
    return this.#running;
  }

  get queuedCount(): number {
    return this.#queue.length;
  }

  /** Attempts whose end the entry has not confirmed yet. */
  get openCount(): number {
    return this.#attempts.size;
  }

  receive(link: EntryLink, message: EntryMessage): void {
    switch (message.type) {
      case 'dispatch':
        this.#take(link, message);
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

  #take(link: EntryLink, dispatch: Dispatch): void {
    const refusal = this.#refusal(dispatch);
    if (refusal) {
      this.#refuse(link, dispatch.attempt, refusal);
      return;
    }
    const attempt = new Attempt(dispatch, link);
    this.#attempts.set(dispatch.attempt, attempt);
    this.#options.journal.record(sidecarEvents.attemptAccepted, {
      request: dispatch.request,
      attempt: dispatch.attempt,
    });
    link.send({ type: 'accepted', attempt: dispatch.attempt });
    this.#queue.push(attempt);
    this.#fill();
  }

  #refusal(dispatch: Dispatch): Code | undefined {
    const { attempt, incarnation } = dispatch;
    if (incarnation !== this.#options.incarnation) return requestCodes.attemptRefused;
    if (this.#attempts.has(attempt) || this.#released.has(attempt)) {
      return requestCodes.attemptRefused;
    }
    if (!this.#options.mayStart()) return requestCodes.draining;
    const isFull = this.#running >= this.slots && this.#queue.length >= this.#options.queue;
    return isFull ? requestCodes.overloaded : undefined;
  }

  #refuse(link: EntryLink, attempt: AttemptId, code: Code): void {
    this.#options.journal.record(sidecarEvents.attemptRefused, { attempt, code: code.name });
    link.send({ type: 'refused', attempt, code: code.number, message: code.meaning });
  }

  #fill(): void {
    while (this.#running < this.slots) {
      const attempt = this.#queue.shift();
      if (!attempt) return;
      this.#run(attempt);
    }
  }

  #run(attempt: Attempt): void {
    const { endpoint, meter, journal } = this.#options;
    const { dispatch } = attempt;
    const fields = { request: dispatch.request, attempt: dispatch.attempt };
    attempt.state = 'running';
    this.#running += 1;
    endpoint
      .run(dispatch, attempt, attempt.abort.signal)
      .then((work) => {
        attempt.complete(work, meter.record(dispatch, work, true));
        journal.record(sidecarEvents.attemptEnded, { ...fields, ...work });
      })
      .catch((error: unknown) => {
        const sequence = meter.record(dispatch, noWork, false);
        const code = requestCodes.endpointFailed.number;
        attempt.fail({ code, message: String(error), notRun: false, work: noWork, sequence });
        journal.record(sidecarEvents.attemptFailed, { ...fields, error: String(error) });
      })
      .finally(() => {
        this.#running -= 1;
        this.#fill();
      });
  }

  #resume(link: EntryLink, id: AttemptId, offset: number): void {
    const attempt = this.#attempts.get(id);
    if (attempt?.resume(link, offset)) return;
    const { outcomeUnknown } = requestCodes;
    const failure: SidecarMessage = {
      type: 'failed',
      attempt: id,
      code: outcomeUnknown.number,
      message: 'the answer is not kept here',
      notRun: 'unknown',
      work: noWork,
      sequence: 0,
    };
    link.send(failure);
  }

  #cancel(id: AttemptId): void {
    const attempt = this.#attempts.get(id);
    if (!attempt) return;
    if (attempt.state === 'queued') this.#drop(attempt);
    else if (attempt.dispatch.idempotent) attempt.abort.abort();
    this.#release(id);
  }

  #revoke(link: EntryLink, id: AttemptId): void {
    const attempt = this.#attempts.get(id);
    if (!attempt) {
      const outcome = this.#released.has(id) ? 'ran' : 'never';
      this.#remember(id);
      link.send({ type: 'revoked', attempt: id, outcome });
      return;
    }
    const { state } = attempt;
    if (state === 'queued') this.#drop(attempt);
    const outcomes = { queued: 'never', running: 'running', ended: 'ran' } as const;
    link.send({ type: 'revoked', attempt: id, outcome: outcomes[state] });
  }

  #drop(attempt: Attempt): void {
    this.#queue = this.#queue.filter((item) => item !== attempt);
    this.#release(attempt.dispatch.attempt);
  }

  #release(id: AttemptId): void {
    this.#attempts.get(id)?.[Symbol.dispose]();
    this.#attempts.delete(id);
    this.#remember(id);
  }

  #remember(id: AttemptId): void {
    this.#released.add(id);
    const [oldest] = this.#released;
    if (this.#released.size > KEPT_RELEASED && oldest) this.#released.delete(oldest);
  }
}
