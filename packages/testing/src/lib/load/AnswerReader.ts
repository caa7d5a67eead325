const EVENT_END = '\n\n';
const DATA = 'data: ';

interface Choice {
  readonly text?: string;
  readonly delta?: { readonly content?: string };
  readonly message?: { readonly content?: string };
}

/** The fields of an answer that a caller reads. */
interface AnswerBody {
  readonly error?: { readonly type: string; readonly not_run: boolean | 'unknown' };
  readonly choices?: readonly Choice[];
  readonly usage?: { readonly completion_tokens?: number };
  readonly echo?: string;
}

/** Reads an answer as it arrives, streamed or whole. @internal */
export class AnswerReader {
  text = '';

  isWhole = false;

  error: AnswerBody['error'];

  /** Answer tokens received. */
  tokens = 0;

  /** Monotonic times of the first and the last token, in milliseconds; 0 before. */
  firstTokenAt = 0;

  lastTokenAt = 0;

  /** Whether the connection failed or was given up before the end of the answer. */
  isBroken = false;

  /** HTTP status; 0 when no answer came. */
  status = 0;

  #isStream = false;

  #pending = '';

  /** The headers have arrived. */
  begin(status: number, contentType: string): void {
    this.status = status;
    this.#isStream = contentType.startsWith('text/event-stream');
  }

  read(chunk: string, now: number): void {
    this.#pending += chunk;
    if (!this.#isStream) return;
    const events = this.#pending.split(EVENT_END);
    this.#pending = events.pop() ?? '';
    for (const event of events) this.#readEvent(event, now);
  }

  /** The body has ended. */
  end(now: number): void {
    if (this.#isStream) return;
    const body = parse(this.#pending);
    this.error = body?.error;
    this.isWhole = this.status === 200 && body !== undefined;
    this.text = body?.choices?.[0]?.message?.content ?? body?.echo ?? '';
    this.tokens = body?.usage?.completion_tokens ?? 0;
    if (!this.isWhole) return;
    this.firstTokenAt = now;
    this.lastTokenAt = now;
  }

  #readEvent(event: string, now: number): void {
    if (!event.startsWith(DATA)) return;
    const data = event.slice(DATA.length);
    if (data === '[DONE]') {
      this.isWhole = true;
      return;
    }
    const body = parse(data);
    this.error ??= body?.error;
    const choice = body?.choices?.[0];
    const text = choice?.delta?.content ?? choice?.text;
    if (!text) return;
    this.text += text;
    this.tokens += 1;
    this.firstTokenAt ||= now;
    this.lastTokenAt = now;
  }
}

function parse(text: string): AnswerBody | undefined {
  try {
    return JSON.parse(text) as AnswerBody;
  } catch {
    return undefined;
  }
}
