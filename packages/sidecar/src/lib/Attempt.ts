import { Lifecycle } from '@berylwood/base';
import type { Link } from '@berylwood/link';
import type { Dispatch, EntryMessage, SidecarMessage, Work } from '@berylwood/schema';
import { ResponseBuffer } from './ResponseBuffer';
import { ResponseCopy } from './ResponseCopy';
import { attemptTable, type AttemptEvent, type AttemptStateMeta } from './attemptMachine';
import type { ResponseSink } from './Endpoint';

/** A link to an entry. @internal */
export type EntryLink = Link<SidecarMessage, EntryMessage>;

type EndMessage = Extract<SidecarMessage, { type: 'end' | 'failed' }>;
type HeadMessage = Extract<SidecarMessage, { type: 'head' }>;

/** Bytes that an entry may leave unacknowledged before the endpoint is read no further. */
const MAX_UNACKNOWLEDGED_BYTES = 256 * 1024;

/** One attempt in the sidecar: its answer, kept until the entry has it. @internal */
export class Attempt implements ResponseSink, Disposable {
  /** Called as tokens of the answer pass. */
  onProgress: (tokens: number) => void = () => {};

  readonly dispatch: Dispatch;

  readonly abort = new AbortController();

  readonly lifecycle = new Lifecycle<AttemptEvent, AttemptStateMeta>(attemptTable);

  /** The answer of a call with a claim, for its stored outcome. */
  readonly responseCopy: ResponseCopy | undefined;

  /** Since when no entry is attached, or the reader is held up; undefined when neither. */
  stalledSince: number | undefined;

  readonly #now: () => number;

  readonly #buffer = new ResponseBuffer();

  #link: EntryLink | undefined;

  #head: HeadMessage | undefined;

  #end: EndMessage | undefined;

  #resumeReading: () => void = () => {};

  constructor(dispatch: Dispatch, link: EntryLink, now: () => number) {
    this.dispatch = dispatch;
    this.#link = link;
    this.#now = now;
    this.responseCopy = dispatch.claim === undefined ? undefined : new ResponseCopy();
  }

  get link(): EntryLink | undefined {
    return this.#link;
  }

  head(status: number, headers: Record<string, string>): void {
    if (!this.lifecycle.send('head')) return;
    this.#head = { type: 'head', attempt: this.dispatch.attempt, status, headers };
    this.responseCopy?.head(status, headers);
    this.#link?.send(this.#head, true);
  }

  data(bytes: Uint8Array, tokens: number): Promise<void> | undefined {
    const part = this.#buffer.append(bytes, tokens);
    this.responseCopy?.append(bytes);
    const isFirst = part.offset === 0;
    this.#link?.send({ type: 'data', attempt: this.dispatch.attempt, ...part }, isFirst);
    this.onProgress(tokens);
    if (this.#buffer.unacknowledgedBytes <= MAX_UNACKNOWLEDGED_BYTES) return undefined;
    this.stalledSince ??= this.#now();
    return new Promise<void>((resolve) => {
      this.#resumeReading = resolve;
    });
  }

  /** The answer is whole. */
  complete(work: Work, sequence: number): void {
    const { attempt } = this.dispatch;
    this.#finish({ type: 'end', attempt, offset: this.#buffer.end, work, sequence });
  }

  fail(failure: Omit<Extract<SidecarMessage, { type: 'failed' }>, 'type' | 'attempt'>): void {
    this.#finish({ type: 'failed', attempt: this.dispatch.attempt, ...failure });
  }

  /** Sends what the entry lacks over a new link. False when part of it is no longer kept. */
  resume(link: EntryLink, offset: number): boolean {
    const parts = this.#buffer.from(offset);
    if (!parts) return false;
    this.#link = link;
    this.stalledSince = undefined;
    if (this.#head) link.send(this.#head, true);
    const { attempt } = this.dispatch;
    for (const part of parts) link.send({ type: 'data', attempt, ...part });
    if (this.#end) link.send(this.#end, true);
    return true;
  }

  acknowledge(offset: number): void {
    this.#buffer.acknowledge(offset);
    if (this.#buffer.unacknowledgedBytes > MAX_UNACKNOWLEDGED_BYTES) return;
    this.stalledSince = undefined;
    this.#resumeReading();
  }

  /** The link is gone; the answer is kept for a resumption. */
  detach(link: EntryLink): void {
    if (this.#link !== link) return;
    this.#link = undefined;
    this.stalledSince = this.#now();
  }

  [Symbol.dispose](): void {
    this.#resumeReading();
  }

  #finish(end: EndMessage): void {
    this.#end = end;
    this.stalledSince = this.#now();
    this.#link?.send(end, true);
  }
}
