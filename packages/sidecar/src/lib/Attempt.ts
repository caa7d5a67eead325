import { DisposableStore } from '@berylwood/base';
import type { Link } from '@berylwood/link';
import type { Dispatch, EntryMessage, SidecarMessage, Work } from '@berylwood/schema';
import { AnswerBuffer } from './AnswerBuffer';
import type { AnswerSink } from './Endpoint';

/** A link to an entry. @internal */
export type EntryLink = Link<SidecarMessage, EntryMessage>;

type EndMessage = Extract<SidecarMessage, { type: 'end' | 'failed' }>;
type HeadMessage = Extract<SidecarMessage, { type: 'head' }>;

/** Bytes that an entry may leave unacknowledged before the endpoint is read no further. */
const WINDOW_BYTES = 256 * 1024;

/** One attempt in the sidecar: its answer, kept until the entry has it. @internal */
export class Attempt implements AnswerSink, Disposable {
  readonly dispatch: Dispatch;

  readonly abort = new AbortController();

  state: 'queued' | 'running' | 'ended' = 'queued';

  readonly #buffer = new AnswerBuffer();

  readonly #store = new DisposableStore();

  #link: EntryLink | undefined;

  #head: HeadMessage | undefined;

  #end: EndMessage | undefined;

  #resumeReading: () => void = () => {};

  constructor(dispatch: Dispatch, link: EntryLink) {
    this.dispatch = dispatch;
    this.#link = link;
  }

  get isReleasable(): boolean {
    return this.state === 'ended';
  }

  head(status: number, headers: Record<string, string>): void {
    this.#head = { type: 'head', attempt: this.dispatch.attempt, status, headers };
    this.#link?.send(this.#head);
  }

  async data(bytes: Uint8Array, tokens: number): Promise<void> {
    const part = this.#buffer.append(bytes, tokens);
    this.#link?.send({ type: 'data', attempt: this.dispatch.attempt, ...part });
    if (this.#buffer.unacknowledgedBytes <= WINDOW_BYTES) return;
    await new Promise<void>((resolve) => {
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
    if (this.#head) link.send(this.#head);
    const { attempt } = this.dispatch;
    for (const part of parts) link.send({ type: 'data', attempt, ...part });
    if (this.#end) link.send(this.#end);
    return true;
  }

  acknowledge(offset: number): void {
    this.#buffer.acknowledge(offset);
    if (this.#buffer.unacknowledgedBytes <= WINDOW_BYTES) this.#resumeReading();
  }

  /** The link is gone; the answer is kept for a resumption. */
  detach(link: EntryLink): void {
    if (this.#link === link) this.#link = undefined;
  }

  [Symbol.dispose](): void {
    this.#resumeReading();
    this.#store[Symbol.dispose]();
  }

  #finish(end: EndMessage): void {
    this.state = 'ended';
    this.#end = end;
    this.#link?.send(end);
  }
}
