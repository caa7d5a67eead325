import type { IncomingMessage, ServerResponse } from 'node:http';
import { setImmediate } from 'node:timers/promises';
import { StandIn, sendJson } from '../StandIn';

/** A call that a scripted engine answers. @public */
export interface ScriptedCall {
  readonly method: string;
  readonly url: URL;
  /** Id of the stream that the call begins, by its header, or resumes, by its path. */
  readonly stream: string;
}

/** What a scripted engine answers, byte by byte. @public */
export interface ScriptedResponse {
  /** 200 when left out. */
  readonly status?: number;
  readonly headers?: Record<string, string>;
  /** Whether the body ends with the connection instead of a last chunk. */
  readonly endsWithConnection?: boolean;
  /** Parts of the body, each in a write of its own. */
  readonly parts: readonly Uint8Array[];
  /** How the response ends after its parts; completely when left out. */
  readonly ending?: 'complete' | 'cut' | 'silent';
}

/** Engine whose responses a test writes byte by byte, sound or not. @public */
export class ScriptedEngine extends StandIn {
  readonly name = 'scripted engine';

  readonly #respond: (call: ScriptedCall) => ScriptedResponse;

  constructor(listen: string, respond: (call: ScriptedCall) => ScriptedResponse) {
    super(listen);
    this.#respond = respond;
  }

  protected override async serve(
    request: IncomingMessage,
    response: ServerResponse,
    url: URL,
  ): Promise<void> {
    if (url.pathname === '/load') return sendJson(response, 200, { running: 0 });
    const { method = 'GET', headers } = request;
    const stream = String(headers['x-stream-id'] ?? url.pathname.split('/')[3]);
    const script = this.#respond({ method, url, stream });
    return play(response, script);
  }
}

async function play(response: ServerResponse, script: ScriptedResponse): Promise<void> {
  const { status = 200, headers = { 'content-type': 'text/event-stream' }, parts } = script;
  if (script.endsWithConnection) {
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
  }
  response.socket?.setNoDelay(true);
  response.writeHead(status, headers);
  response.flushHeaders();
  for (const part of parts) {
    response.write(part);
    await setImmediate();
  }
  if (script.ending === 'cut') response.destroy();
  else if (script.ending !== 'silent') response.end();
}
