import { required, type Timer } from '@berylwood/base';
import type { Configuration } from '@berylwood/schema';
import { Agent, request, type Dispatcher } from 'undici';
import { contentDigest } from '../contentDigest';
import { expectedAnswer } from '../engine/answer';
import { AnswerReader } from './AnswerReader';
import type { Arrival } from './createArrivals';
import { createPrompt } from './createPrompt';
import type { ClassLoad, LoadScenario } from './LoadScenario';
import type { Outcome } from './Outcome';

/** Key of a workspace. @public */
export interface Key {
  readonly key: string;
  readonly secret: string;
}

/** Options of a caller. @internal */
export interface LoadCallerOptions {
  readonly timer: Timer;
  readonly scenario: LoadScenario;
  readonly configuration: Configuration;
  /** Keys by workspace. */
  readonly keys: ReadonlyMap<string, Key>;
  /** Identity of the run, part of each prompt. */
  readonly run: string;
}

interface Call {
  readonly url: string;
  readonly headers: Record<string, string>;
  readonly body: string;
  readonly digest: string;
  readonly expected: string;
}

const MS_PER_S = 1000;
const CHARACTERS_PER_TOKEN = 4;

/** Error of a request whose connection failed, or that was given up. */
const CONNECTION_ERROR = 'connection';

/** Sends the requests of a load over kept connections and reads their answers. @internal */
export class LoadCaller {
  readonly #options: LoadCallerOptions;

  /** Connections without a limit: a slow answer never holds up the next request. */
  readonly #agent = new Agent({ pipelining: 1, headersTimeout: 0, bodyTimeout: 0 });

  constructor(options: LoadCallerOptions) {
    this.#options = options;
  }

  /** Sends a request and resolves to what became of it; it never rejects. */
  async send(arrival: Arrival): Promise<Outcome> {
    const { timer, scenario } = this.#options;
    const load = required(scenario.classes[arrival.class], 'class of the load');
    const call = this.#prepare(arrival, load);
    const startedAt = timer.now();
    const sentAt = timer.wall();
    const reader = new AnswerReader();
    await this.#read(call, reader).catch(() => {
      reader.isBroken = true;
    });
    return this.#conclude({ arrival, load, call, reader, startedAt, sentAt });
  }

  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  #prepare(arrival: Arrival, load: ClassLoad): Call {
    const { scenario, keys, run } = this.#options;
    const { entries } = scenario.load;
    const base = `http://${entries[arrival.number % entries.length]}`;
    const { secret } = required(keys.get(arrival.workspace), `key of ${arrival.workspace}`);
    const headers = {
      authorization: `Bearer ${secret}`,
      'content-type': 'application/json',
      'x-request-class': arrival.class,
    };
    const prompt = createPrompt(arrival, load, run);
    if (load.path) {
      const body = JSON.stringify({ order: prompt });
      const idempotency = { 'idempotency-key': `${run}-${arrival.number}` };
      const digest = contentDigest(body);
      const url = `${base}${load.path}`;
      return { url, headers: { ...headers, ...idempotency }, body, digest, expected: body };
    }
    const body = JSON.stringify({
      model: load.model,
      stream: load.stream,
      messages: [{ role: 'user', content: prompt }],
      metadata: { answer_tokens: String(arrival.answerTokens) },
    });
    const content = `user: ${prompt}`;
    const expected = expectedAnswer(content, arrival.answerTokens);
    const url = `${base}/v1/chat/completions`;
    return { url, headers, body, digest: contentDigest(content), expected };
  }

  async #read(call: Call, reader: AnswerReader): Promise<void> {
    const { timer, scenario } = this.#options;
    const { url, headers, body } = call;
    const signal = AbortSignal.timeout(scenario.load.giveUpS * MS_PER_S);
    const dispatcher: Dispatcher = this.#agent;
    const answer = await request(url, { method: 'POST', headers, body, signal, dispatcher });
    reader.begin(answer.statusCode, String(answer.headers['content-type'] ?? ''));
    answer.body.setEncoding('utf8');
    for await (const chunk of answer.body) reader.read(chunk as string, timer.now());
    reader.end(timer.now());
  }

  #conclude(end: {
    arrival: Arrival;
    load: ClassLoad;
    call: Call;
    reader: AnswerReader;
    startedAt: number;
    sentAt: number;
  }): Outcome {
    const { arrival, load, call, reader, startedAt, sentAt } = end;
    const { timer, keys } = this.#options;
    const { status, firstTokenAt, lastTokenAt, tokens, text, isWhole, isBroken, error } = reader;
    const durationMs = timer.now() - startedAt;
    const firstTokenMs = firstTokenAt === 0 ? durationMs : firstTokenAt - startedAt;
    const { workspace, class: name } = arrival;
    const promptTokens = Math.ceil(call.body.length / CHARACTERS_PER_TOKEN);
    return {
      arrival,
      digest: call.digest,
      workspace,
      class: name,
      tier: this.#tierOf(arrival),
      pool: load.model ?? load.path ?? '',
      key: keys.get(workspace)?.key ?? '',
      sentAt,
      firstTokenAt: firstTokenAt === 0 ? undefined : sentAt + firstTokenMs,
      endedAt: sentAt + durationMs,
      status,
      error: error?.type ?? (isBroken ? CONNECTION_ERROR : undefined),
      notRun: error?.not_run,
      text,
      expected: call.expected,
      isWhole,
      firstTokenMs,
      betweenTokensMs: tokens > 1 ? (lastTokenAt - firstTokenAt) / (tokens - 1) : 0,
      durationMs,
      work: load.model ? promptTokens + arrival.answerTokens : 1,
      tokens,
    };
  }

  #tierOf({ workspace, class: name }: Arrival): number {
    const { customers, plans } = this.#options.configuration;
    const plan = plans[customers[workspace]?.plan ?? ''];
    return plan?.classes[name] ?? 0;
  }
}
