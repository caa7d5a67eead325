import { noWork, type Work } from '@berylwood/schema';

/** Number of bytes at the end of a response that are searched for the usage. */
const TAIL_BYTES = 2048;

const NEWLINE = '\n'.charCodeAt(0);
const USAGE_MARKER = '"usage":{';
const DONE_MARKER = '[DONE]';

interface ReportedUsage {
  readonly prompt_tokens?: number;
  readonly completion_tokens?: number;
  readonly prompt_tokens_details?: { readonly cached_tokens?: number };
}

/** Counts the tokens of a response and reads its usage, without buffering the response. @internal */
export class UsageReader {
  readonly #isStream: boolean;

  #tokens = 0;

  /** Bytes of complete events after the last token: the usage and the end marker. */
  #trailingBytes = 0;

  #lastByte: number | undefined;

  /** Last chunks: at least `TAIL_BYTES` in total, or the whole response if it is shorter. */
  #tail: Buffer[] = [];

  #tailLength = 0;

  /** Chunks of the event that is not complete yet. */
  #partialEvent: Buffer[] = [];

  constructor(contentType: string) {
    this.#isStream = contentType.startsWith('text/event-stream');
  }

  /** Number of tokens received so far; each event of a stream carries one token. */
  get tokens(): number {
    return this.#tokens;
  }

  /** Bytes received after the last complete token event, which a resumed stream sends again. */
  get bytesAfterToken(): number {
    return this.#partialEvent.reduce((sum, { length }) => sum + length, this.#trailingBytes);
  }

  /** Usage reported by the engine, or the counted tokens if it reported none. */
  get work(): Work {
    const usage = this.#parseReportedUsage();
    if (!usage) return { ...noWork, outputTokens: this.#tokens };
    return {
      inputTokens: usage.prompt_tokens ?? 0,
      outputTokens: usage.completion_tokens ?? this.#tokens,
      cachedTokens: usage.prompt_tokens_details?.cached_tokens ?? 0,
    };
  }

  read(chunk: Buffer): void {
    if (this.#isStream) this.#countEvents(chunk);
    this.#tail.push(chunk);
    this.#tailLength += chunk.length;
    while (this.#tail[0] && this.#tailLength - this.#tail[0].length >= TAIL_BYTES) {
      this.#tailLength -= this.#tail[0].length;
      this.#tail.shift();
    }
  }

  /** Counts complete events. The empty line that ends an event may be split between two chunks. */
  #countEvents(chunk: Buffer): void {
    let start = 0;
    for (let at = chunk.indexOf(NEWLINE); at >= 0; at = chunk.indexOf(NEWLINE, at + 1)) {
      const isEmpty = at === start && this.#partialEvent.length === 0;
      const previousByte = at > 0 ? chunk[at - 1] : this.#lastByte;
      if (isEmpty || previousByte !== NEWLINE) continue;
      this.#partialEvent.push(chunk.subarray(start, at + 1));
      this.#endEvent();
      start = at + 1;
    }
    if (start < chunk.length) this.#partialEvent.push(chunk.subarray(start));
    this.#lastByte = chunk.at(-1);
  }

  #endEvent(): void {
    const [first = Buffer.alloc(0)] = this.#partialEvent;
    const event = this.#partialEvent.length === 1 ? first : Buffer.concat(this.#partialEvent);
    this.#partialEvent = [];
    if (event.includes(USAGE_MARKER) || event.includes(DONE_MARKER)) {
      this.#trailingBytes += event.length;
      return;
    }
    this.#tokens += 1;
    this.#trailingBytes = 0;
  }

  #parseReportedUsage(): ReportedUsage | undefined {
    const text = Buffer.concat(this.#tail).toString('utf8');
    const at = text.lastIndexOf(USAGE_MARKER);
    if (at < 0) return undefined;
    const start = at + USAGE_MARKER.length - 1;
    let depth = 0;
    for (let end = start; end < text.length; end += 1) {
      if (text[end] === '{') depth += 1;
      if (text[end] === '}') depth -= 1;
      if (depth === 0) return JSON.parse(text.slice(start, end + 1)) as ReportedUsage;
    }
    return undefined;
  }
}
