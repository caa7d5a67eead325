import { randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { Random, SystemTimer } from '@berylwood/base';
import { contentDigest } from '../contentDigest';
import { HttpFault, StandIn, parseJson, sendJson } from '../StandIn';
import { promptOf, type CompletionRequest } from './answer';
import { Batch } from './Batch';
import { CacheEventLog } from './CacheEventLog';
import type { EngineOptions } from './EngineOptions';
import { EngineStream, createStream, type ExportedStream } from './EngineStream';
import { LoadReporter } from './LoadReporter';
import { OrderDesk, type Order } from './OrderDesk';
import { PrefixCache } from './PrefixCache';
import { StreamTable } from './StreamTable';

const LOG_BODY_BYTES = 4096;
const DEFAULT_CACHE_BLOCKS = 1024;
const DEFAULT_EVENT_DELAY_MS = 500;
const DEFAULT_PRIORITY = 5;

/** Faults that an admin call switches while the engine runs. */
interface Faults {
  readonly speed?: number;
  readonly load_lag_ms?: number;
}

/** Stand-in of a model engine with the OpenAI wire form; docs/operators/load.md has its calls. @public */
export class EngineServer extends StandIn {
  readonly name: string;

  readonly batch: Batch;

  readonly #options: EngineOptions;

  readonly #streams: StreamTable;

  readonly #events: CacheEventLog;

  readonly #load: LoadReporter;

  readonly #orders: OrderDesk;

  constructor(options: EngineOptions) {
    super(options.listen, options.history);
    this.name = options.name;
    this.#options = options;
    const { timer = new SystemTimer(), cacheBlocks = DEFAULT_CACHE_BLOCKS } = options;
    this.batch = this.store.add(new Batch({ ...options, timer }));
    this.#load = this.store.add(new LoadReporter(timer, this.batch, options.loadLagMs ?? 0));
    this.#orders = new OrderDesk(this.history, options.checksFence ?? false);
    const delayMs = options.cacheEventDelayMs ?? DEFAULT_EVENT_DELAY_MS;
    const random = new Random(options.seed ?? 1);
    this.#events = new CacheEventLog({ timer, random, delayMs, loss: options.cacheEventLoss ?? 0 });
    const cache = new PrefixCache(cacheBlocks);
    cache.onChange = (kind, blocks) => this.#events.add(kind, blocks);
    this.#streams = this.store.add(new StreamTable(timer, this.batch, cache));
  }

  protected override async serve(
    request: IncomingMessage,
    response: ServerResponse,
    url: URL,
    body: Buffer,
  ): Promise<void> {
    const { method = 'GET' } = request;
    switch (`${method} ${url.pathname}`) {
      case 'GET /load':
        return sendJson(
          response,
          200,
          url.search === '?present' ? this.#load.present : this.#load.load,
        );
      case 'GET /cache-events':
        return this.#sendEvents(response, url);
      case 'GET /v1/models':
        return this.#sendModels(response);
      case 'POST /v1/chat/completions':
        return this.#complete(request, response, url, body, 'chat');
      case 'POST /v1/completions':
        return this.#complete(request, response, url, body, 'text');
      case 'POST /v1/streams':
        return this.#import(response, parseJson<ExportedStream>(body));
      case 'POST /orders':
        this.#orders.take(parseJson<Order>(body));
        return sendJson(response, 200, { refused: false });
      case 'POST /admin':
        return this.#switch(response, parseJson<Faults>(body));
      default:
        return this.#serveStream(method, url, response);
    }
  }

  async #serveStream(method: string, url: URL, response: ServerResponse): Promise<void> {
    const [, , table, id = '', verb = ''] = url.pathname.split('/');
    if (table !== 'streams') throw new HttpFault(404, 'no such path');
    const { batch } = this;
    switch (`${method} ${verb}`) {
      case 'GET ': {
        const stream = this.#streams.find(id);
        const offset = Number(url.searchParams.get('offset') ?? 0);
        this.history.add('resume', { id, offset });
        return this.#relay(response, stream, offset);
      }
      case 'DELETE ':
        return this.#answer(response, 'cancel', id, batch.cancel(id));
      case 'POST pause':
        return this.#answer(response, 'pause', id, batch.pause(id));
      case 'POST continue':
        return this.#answer(response, 'continue', id, batch.unpause(id));
      case 'GET kv':
        return this.#export(response, this.#streams.find(id));
      default:
        throw new HttpFault(404, 'no such path');
    }
  }

  #answer(response: ServerResponse, kind: string, id: string, found: boolean): void {
    this.history.add(kind, { id, found });
    sendJson(response, found ? 200 : 404, { found });
  }

  #sendEvents(response: ServerResponse, url: URL): void {
    const events = this.#events.after(Number(url.searchParams.get('after') ?? 0));
    sendJson(response, 200, { events });
  }

  #sendModels(response: ServerResponse): void {
    const data = this.#options.models.map((id) => ({ id, object: 'model' }));
    sendJson(response, 200, { object: 'list', data });
  }

  #switch(response: ServerResponse, faults: Faults): void {
    this.batch.speed = faults.speed ?? this.batch.speed;
    this.#load.lagMs = faults.load_lag_ms ?? this.#load.lagMs;
    this.history.add('admin', { ...faults });
    sendJson(response, 200, {});
  }

  async #complete(
    request: IncomingMessage,
    response: ServerResponse,
    url: URL,
    body: Buffer,
    form: 'chat' | 'text',
  ): Promise<void> {
    const completion = parseJson<CompletionRequest>(body);
    const { headers } = request;
    const digest = contentDigest(promptOf(completion));
    const id = String(headers['x-stream-id'] ?? randomUUID());
    const path = url.pathname + url.search;
    const text = body.toString('utf8', 0, LOG_BODY_BYTES);
    this.history.add('run', { id, path, headers, body: text, digest });
    const { crashMark } = this.#options;
    if (crashMark && body.includes(crashMark)) this.#crash(id);
    const priority = Number(headers['x-priority'] ?? DEFAULT_PRIORITY);
    const stream = createStream(id, completion, form, priority);
    this.#streams.start(stream, false);
    if (completion.stream) await this.#relay(response, stream, 0);
    else await this.#sendWhole(response, stream, completion.model ?? '');
  }

  async #relay(response: ServerResponse, stream: EngineStream, offset: number): Promise<void> {
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    response.flushHeaders();
    let sent = offset;
    await this.#read(response, stream, () => {
      const text = stream.events(sent);
      sent = Math.max(sent, stream.tokens);
      if (text) response.write(text);
    });
    if (stream.isWhole) response.end(stream.ending);
    else response.destroy();
  }

  async #sendWhole(response: ServerResponse, stream: EngineStream, model: string): Promise<void> {
    await this.#read(response, stream, () => {});
    if (!stream.isWhole) throw new HttpFault(500, 'aborted');
    sendJson(response, 200, stream.whole(model));
  }

  /** Follows a stream until it is whole or cancelled or its reader is gone. */
  async #read(response: ServerResponse, stream: EngineStream, onChange: () => void): Promise<void> {
    stream.readers += 1;
    response.once('close', () => stream.notify());
    while (!response.destroyed) {
      onChange();
      if (stream.isWhole || stream.isAborted) break;
      await stream.change();
    }
    this.#streams.leave(stream);
    const { id, tokens, isWhole } = stream;
    this.history.add(isWhole ? 'completed' : 'broken', { id, tokens });
  }

  #export(response: ServerResponse, stream: EngineStream): void {
    if (!this.batch.isPaused(stream.id)) throw new HttpFault(409, 'pause the stream first');
    sendJson(response, 200, stream.exported);
    this.history.add('export', { id: stream.id, tokens: stream.tokens });
    this.#streams.release(stream.id);
  }

  #import(response: ServerResponse, state: ExportedStream): void {
    this.#streams.start(new EngineStream(state), true);
    this.history.add('import', { id: state.id, tokens: state.tokens });
    sendJson(response, 200, { id: state.id });
  }

  #crash(id: string): never {
    this.history.add('crash', { id });
    const { onCrash } = this.#options;
    if (onCrash) onCrash();
    else process.exit(1);
    throw new HttpFault(500, 'crashed');
  }
}
