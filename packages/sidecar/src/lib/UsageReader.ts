import { noWork, type Work } from '@berylwood/schema';

/** Bytes at the end of an answer within which the usage stands. */
const TAIL_BYTES = 2048;

const EVENT_END = Buffer.from('\n\n');

interface UsageField {
  readonly prompt_tokens?: number;
  readonly completion_tokens?: number;
  readonly prompt_tokens_details?: { readonly cached_tokens?: number };
}

/** Reads the usage of an answer as it passes, without keeping the answer. @internal */
export class UsageReader {
  readonly #isStream: boolean;

  #events = 0;

  #tail: Buffer = Buffer.alloc(0);

  constructor(contentType: string) {
    this.#isStream = contentType.startsWith('text/event-stream');
  }

  /** Tokens so far: one event of a stream carries one token. */
  get tokens(): number {
    return this.#events;
  }

  /** Usage as the engine stated it, else as counted. */
  get work(): Work {
    const usage = this.#statedUsage();
    if (!usage) return { ...noWork, outputTokens: this.#events };
    return {
      inputTokens: usage.prompt_tokens ?? 0,
      outputTokens: usage.completion_tokens ?? this.#events,
      cachedTokens: usage.prompt_tokens_details?.cached_tokens ?? 0,
    };
  }

  read(chunk: Buffer): void {
    if (this.#isStream) this.#countEvents(chunk);
    const joined = Buffer.concat([this.#tail, chunk]);
    this.#tail = joined.subarray(Math.max(0, joined.length - TAIL_BYTES));
  }

  #countEvents(chunk: Buffer): void {
    for (let at = chunk.indexOf(EVENT_END); at >= 0; at = chunk.indexOf(EVENT_END, at + 2)) {
      this.#events += 1;
    }
  }

  #statedUsage(): UsageField | undefined {
    const text = this.#tail.toString('utf8');
    const at = text.lastIndexOf('"usage":{');
    if (at < 0) return undefined;
    const start = at + '"usage":'.length;
    let depth = 0;
    for (let end = start; end < text.length; end += 1) {
      if (text[end] === '{') depth += 1;
      if (text[end] === '}') depth -= 1;
      if (depth === 0) return JSON.parse(text.slice(start, end + 1)) as UsageField;
    }
    return undefined;
  }
}
