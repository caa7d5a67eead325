import { promptBlocks } from '@berylwood/schema';
import {
  answerLength,
  answerToken,
  countTokens,
  promptMark,
  promptOf,
  type CompletionRequest,
} from './answer';

/** The state of a stream that moves to another engine with its KV cache. @public */
export interface ExportedStream {
  readonly id: string;
  readonly mark: string;
  readonly blocks: readonly string[];
  readonly promptTokens: number;
  readonly answerTokens: number;
  /** Tokens generated so far. */
  readonly tokens: number;
  readonly priority: number;
  readonly form: 'chat' | 'text';
}

/** One stream of an engine and its wire form. @internal */
export class EngineStream {
  readonly state: Omit<ExportedStream, 'tokens'>;

  tokens: number;

  cachedTokens = 0;

  isAborted = false;

  /** Readers of the answer; a stream without any is cancelled after a time. */
  readers = 0;

  /** Monotonic time of the last change of its readers, in milliseconds. */
  unreadSince = 0;

  readonly #waiting = new Set<() => void>();

  constructor({ tokens, ...state }: ExportedStream) {
    this.state = state;
    this.tokens = tokens;
  }

  get id(): string {
    return this.state.id;
  }

  get isWhole(): boolean {
    return this.tokens >= this.state.answerTokens;
  }

  get exported(): ExportedStream {
    return { ...this.state, tokens: this.tokens };
  }

  get usage(): Record<string, unknown> {
    const { promptTokens } = this.state;
    return {
      prompt_tokens: promptTokens,
      completion_tokens: this.tokens,
      total_tokens: promptTokens + this.tokens,
      prompt_tokens_details: { cached_tokens: this.cachedTokens },
    };
  }

  /** Wakes the readers. */
  notify(): void {
    for (const wake of this.#waiting) wake();
    this.#waiting.clear();
  }

  /** Resolves at the next change. */
  change(): Promise<void> {
    return new Promise((resolve) => {
      this.#waiting.add(resolve);
    });
  }

  /** Events of the tokens from an offset on. */
  events(offset: number): string {
    let text = '';
    for (let index = offset; index < this.tokens; index += 1) text += this.#event(index);
    return text;
  }

  /** Last events of a whole answer. */
  get ending(): string {
    const usage = { id: this.id, choices: [], usage: this.usage };
    return `data: ${JSON.stringify(usage)}\n\ndata: [DONE]\n\n`;
  }

  /** The whole answer as one body. */
  whole(model: string): Record<string, unknown> {
    const { form, mark } = this.state;
    const parts = Array.from({ length: this.tokens }, (_, index) => answerToken(mark, index));
    const text = parts.join('');
    const message = { role: 'assistant', content: text };
    const choice = form === 'chat' ? { index: 0, message } : { index: 0, text };
    const object = form === 'chat' ? 'chat.completion' : 'text_completion';
    const choices = [{ ...choice, finish_reason: 'stop' }];
    return { id: this.id, object, model, choices, usage: this.usage };
  }

  #event(index: number): string {
    const { form, mark } = this.state;
    const text = answerToken(mark, index);
    const choice = form === 'chat' ? { index: 0, delta: { content: text } } : { index: 0, text };
    const object = form === 'chat' ? 'chat.completion.chunk' : 'text_completion';
    return `data: ${JSON.stringify({ id: this.id, object, choices: [choice] })}\n\n`;
  }
}

/** Creates the stream of a completion request. @internal */
export function createStream(
  id: string,
  completion: CompletionRequest,
  form: 'chat' | 'text',
  priority: number,
): EngineStream {
  const prompt = promptOf(completion);
  return new EngineStream({
    id,
    mark: promptMark(prompt),
    blocks: promptBlocks(prompt),
    promptTokens: countTokens(prompt),
    answerTokens: answerLength(completion),
    tokens: 0,
    priority,
    form,
  });
}
