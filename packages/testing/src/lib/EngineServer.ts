import { createHash } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { SystemTimer, type Timer } from '@berylwood/base';
import {
  answerLength,
  answerToken,
  countTokens,
  promptMark,
  promptOf,
  type CompletionRequest,
} from './answer';
import { Batch } from './Batch';
import { HttpFault, StandIn, sendJson } from './StandIn';

/** Options of a stand-in engine. @public */
export interface EngineOptions {
  readonly listen: string;
  readonly name: string;
  readonly models: readonly string[];
  readonly slots: number;
  readonly prefillRate: number;
  readonly decodeRate: number;
  /** Whether orders with an old fencing number are refused. */
  readonly checksFence?: boolean;
  /** A prompt with this text crashes the engine. */
  readonly crashMark?: string;
  readonly timer?: Timer;
  /** Called on a crash; ends the process by default. */
  readonly onCrash?: () => void;
}

interface Stream {
  readonly id: string;
  readonly mark: string;
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly answerTokens: number;
  tokens: number;
  aborted: boolean;
  /** Renewed with each new reader: an older one is cut off. */
  notify: () => void;
}

const LOG_BODY_BYTES = 4096;
const KEPT_STREAMS = 2000;

/** Stand-in of a model engine with the OpenAI wire form. @public */
export class EngineServer extends StandIn {
  readonly name: string;

  readonly batch: Batch;

  readonly #options: EngineOptions;

  readonly #streams = new Map<string, Stream>();

  #fence = 0;

  constructor(options: EngineOptions) {
    super(options.listen);
    this.name = options.name;
    this.#options = options;
    const timer = options.timer ?? new SystemTimer();
    this.batch = this.store.add(new Batch({ ...options, timer }));
  }

  protected override async serve(
    request: IncomingMessage,
    response: ServerResponse,
    url: URL,
    body: Buffer,
  ): Promise<void> {
    const { method = 'GET' } = request;
    const [, first, second, id = ''] = url.pathname.split('/');
    if (url.pathname === '/load') return this.#sendLoad(response);
    if (url.pathname === '/v1/models') return this.#sendModels(response);
    if (method === 'POST' && first === 'v1') return this.#complete(request, response, url, body);
    if (method === 'GET' && second === 'streams') return this.#resume(response, url, id);
    if (method === 'DELETE' && second === 'streams') return this.#cancel(response, id);
    if (method === 'POST' && first === 'orders') return this.#order(response, body);
    throw new HttpFault(404, 'no such path');
  }

  #sendLoad(response: ServerResponse): void {
    const { batch } = this;
    sendJson(response, 200, {
      slots: this.#options.slots,
      running: batch.runningCount,
      waiting: batch.waitingCount,
      prefill_tokens: batch.prefillTokens,
      generated_tokens: batch.generatedTokens,
    });
  }

  #sendModels(response: ServerResponse): void {
    const data = this.#options.models.map((id) => ({ id, object: 'model' }));
    sendJson(response, 200, { object: 'list', data });
  }

  async #complete(
    request: IncomingMessage,
    response: ServerResponse,
    url: URL,
    body: Buffer,
  ): Promise<void> {
    const completion = JSON.parse(body.toString()) as CompletionRequest;
    const prompt = promptOf(completion);
    const id = String(
      request.headers['x-stream-id'] ?? createHash('sha256').update(body).digest('hex'),
    );
    this.history.add('run', {
      id,
      path: url.pathname + url.search,
      headers: request.headers,
      body: body.toString('utf8', 0, LOG_BODY_BYTES),
    });
    if (this.#options.crashMark && prompt.includes(this.#options.crashMark)) this.#crash(id);
    const stream = this.#begin(id, prompt, completion, Number(request.headers['x-priority'] ?? 5));
    const isChat = url.pathname.endsWith('/chat/completions');
    if (completion.stream) await this.#relay(response, stream, 0, isChat);
    else await this.#sendWhole(response, stream, completion.model ?? '', isChat);
  }

  #begin(id: string, prompt: string, completion: CompletionRequest, priority: number): Stream {
    const stream: Stream = {
      id,
      mark: promptMark(prompt),
      promptTokens: countTokens(prompt),
      cachedTokens: 0,
      answerTokens: answerLength(completion),
      tokens: 0,
      aborted: false,
      notify: () => {},
    };
    this.#streams.set(id, stream);
    const [oldest] = this.#streams.keys();
    if (this.#streams.size > KEPT_STREAMS && oldest) this.#streams.delete(oldest);
    this.batch.submit({
      ...stream,
      priority,
      onProgress: (tokens) => {
        stream.tokens = tokens;
        stream.notify();
      },
      onAbort: () => {
        stream.aborted = true;
        stream.notify();
      },
    });
    return stream;
  }

  async #relay(
    response: ServerResponse,
    stream: Stream,
    offset: number,
    isChat: boolean,
  ): Promise<void> {
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    let sent = offset;
    while (!response.destroyed) {
      let text = '';
      for (; sent < stream.tokens; sent += 1) text += this.#chunk(stream, sent, isChat);
      if (text) response.write(text);
      if (stream.aborted) {
        response.destroy();
        return;
      }
      if (sent >= stream.answerTokens) break;
      await this.#progress(stream, response);
    }
    this.history.add('completed', { id: stream.id, tokens: sent });
    response.end(
      `data: ${JSON.stringify({ id: stream.id, choices: [], usage: usageOf(stream) })}\n\ndata: [DONE]\n\n`,
    );
  }

  #progress(stream: Stream, response: ServerResponse): Promise<void> {
    return new Promise((resolve) => {
      stream.notify = resolve;
      response.once('close', resolve);
    });
  }

  #chunk(stream: Stream, index: number, isChat: boolean): string {
    const text = answerToken(stream.mark, index);
    const choice = isChat ? { index: 0, delta: { content: text } } : { index: 0, text };
    const object = isChat ? 'chat.completion.chunk' : 'text_completion';
    return `data: ${JSON.stringify({ id: stream.id, object, choices: [choice] })}\n\n`;
  }

  async #sendWhole(
    response: ServerResponse,
    stream: Stream,
    model: string,
    isChat: boolean,
  ): Promise<void> {
    while (stream.tokens < stream.answerTokens && !stream.aborted && !response.destroyed) {
      await this.#progress(stream, response);
    }
    if (stream.aborted) throw new HttpFault(500, 'aborted');
    const tokens = Array.from({ length: stream.tokens }, (_, i) => answerToken(stream.mark, i));
    const text = tokens.join('');
    const message = { role: 'assistant', content: text };
    const choice = isChat ? { index: 0, message, finish_reason: 'stop' } : { index: 0, text };
    this.history.add('completed', { id: stream.id, tokens: stream.tokens });
    const object = isChat ? 'chat.completion' : 'text_completion';
    sendJson(response, 200, {
      id: stream.id,
      object,
      model,
      choices: [choice],
      usage: usageOf(stream),
    });
  }

  async #resume(response: ServerResponse, url: URL, id: string): Promise<void> {
    const stream = this.#streams.get(id);
    if (!stream || stream.aborted) throw new HttpFault(404, 'no such stream');
    this.history.add('resume', { id, offset: url.searchParams.get('offset') });
    const offset = Number(url.searchParams.get('offset') ?? 0);
    await this.#relay(response, stream, offset, url.searchParams.get('form') !== 'text');
  }

  #cancel(response: ServerResponse, id: string): void {
    const found = this.batch.cancel(id);
    this.history.add('cancel', { id, found });
    sendJson(response, found ? 200 : 404, { cancelled: found });
  }

  #order(response: ServerResponse, body: Buffer): void {
    const order = JSON.parse(body.toString()) as { fence: number };
    const refused = this.#options.checksFence === true && order.fence < this.#fence;
    this.#fence = Math.max(this.#fence, order.fence);
    this.history.add('order', { ...order, refused });
    sendJson(response, refused ? 409 : 200, { refused });
  }

  #crash(id: string): never {
    this.history.add('crash', { id });
    const { onCrash } = this.#options;
    if (onCrash) onCrash();
    else process.exit(1);
    throw new HttpFault(500, 'crashed');
  }
}

function usageOf(stream: Stream): Record<string, unknown> {
  return {
    prompt_tokens: stream.promptTokens,
    completion_tokens: stream.tokens,
    total_tokens: stream.promptTokens + stream.tokens,
    prompt_tokens_details: { cached_tokens: stream.cachedTokens },
  };
}
