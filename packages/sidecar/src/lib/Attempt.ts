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

/** Unacknowledged bytes above which reading from the endpoint pauses. */
const MAX_UNACKNOWLEDGED_BYTES = 256 * 1024;

/** One attempt in the sidecar. Buffers its response until the entry acknowledges it. @internal */
export class Attempt implements ResponseSink, Disposable {
  /** Called with the number of tokens received so far whenever response data arrives. */
  onProgress: (tokens: number) => void = () => {};

  readonly dispatch: Dispatch;

  readonly abort = new AbortController();

  readonly lifecycle = new Lifecycle<AttemptEvent, AttemptStateMeta>(attemptTable);

  /** Response to a call with a claim, for the stored outcome. */
  readonly responseCopy: ResponseCopy | undefined;

  /**
   * Time since which no entry has been attached, reading has been paused, or the finished attempt has
   * waited for its release; undefined if none of these.
   */
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

  /** Ends the attempt after a complete response. */
  complete(work: Work, sequence: number): void {
    const { attempt } = this.dispatch;
    this.#finish({ type: 'end', attempt, offset: this.#buffer.end, work, sequence });
  }

  fail(failure: Omit<Extract<SidecarMessage, { type: 'failed' }>, 'type' | 'attempt'>): void {
    this.#finish({ type: 'failed', attempt: this.dispatch.attempt, ...failure });
  }

  /**
   * Sends the response from the offset on over a new link. Returns false if part of it is no longer
   * buffered.
   */
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

  /** Detaches a closed link. The response stays buffered, so that the entry can resume it. */
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
