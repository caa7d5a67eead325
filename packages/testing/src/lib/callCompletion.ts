/** A completion request of a caller. @public */
export interface Call {
  readonly url: string;
  readonly secret: string;
  readonly model: string;
  readonly prompt: string;
  readonly class?: string;
  readonly stream?: boolean;
  readonly answerTokens?: number;
  readonly signal?: AbortSignal;
}

/** What a caller got. @public */
export interface Reply {
  readonly status: number;
  /** The answer's text, joined from its events when streamed. */
  readonly text: string;
  /** Whether the answer ended as the wire form says. */
  readonly isWhole: boolean;
  /** Error body, if any. */
  readonly error?: { readonly code: number; readonly type: string; readonly not_run: unknown };
  readonly firstTokenMs: number;
  readonly durationMs: number;
}

interface Chunk {
  readonly error?: Reply['error'];
  readonly choices?: { readonly delta?: { content?: string }; message?: { content?: string } }[];
}

function readEvents(body: string): Pick<Reply, 'text' | 'isWhole' | 'error'> {
  let text = '';
  let isWhole = false;
  let error: Reply['error'];
  for (const event of body.split('\n\n')) {
    if (!event.startsWith('data: ')) continue;
    const data = event.slice('data: '.length);
    if (data === '[DONE]') {
      isWhole = true;
      continue;
    }
    const chunk = JSON.parse(data) as Chunk;
    error ??= chunk.error;
    text += chunk.choices?.[0]?.delta?.content ?? '';
  }
  return { text, isWhole, error };
}

function readWhole(body: string, status: number): Pick<Reply, 'text' | 'isWhole' | 'error'> {
  const value = JSON.parse(body) as Chunk;
  const text = value.choices?.[0]?.message?.content ?? '';
  return { text, isWhole: status === 200, error: value.error };
}

/** Sends a chat completion through an entry, as a caller does, and reads the whole answer. @public */
export async function callCompletion(call: Call): Promise<Reply> {
  const startedAt = performance.now();
  const answer = await fetch(`${call.url}/v1/chat/completions`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${call.secret}`,
      'content-type': 'application/json',
      ...(call.class && { 'x-request-class': call.class }),
    },
    body: JSON.stringify({
      model: call.model,
      stream: call.stream ?? false,
      messages: [{ role: 'user', content: call.prompt }],
      metadata: { answer_tokens: String(call.answerTokens ?? 16) },
    }),
    signal: call.signal,
  });
  let body = '';
  let firstTokenMs = 0;
  const decoder = new TextDecoder();
  for await (const chunk of answer.body ?? []) {
    if (!body) firstTokenMs = performance.now() - startedAt;
    body += decoder.decode(chunk as Uint8Array, { stream: true });
  }
  const isStream = answer.headers.get('content-type')?.startsWith('text/event-stream');
  const read = isStream ? readEvents(body) : readWhole(body, answer.status);
  const durationMs = performance.now() - startedAt;
  return { status: answer.status, ...read, firstTokenMs, durationMs };
}
