import { request as startRequest, type ClientRequest, type IncomingMessage } from 'node:http';
import { fail, type Failure, type Timer } from '@berylwood/base';
import { resetSocket, splitAddress } from '@berylwood/link';
import { platformListSchema, type PlatformInstance } from '@berylwood/schema';
import { ok, type Result } from 'neverthrow';
import { controlCodes } from './codes';

/** One request to the platform that has an effect. @public */
export interface PlatformRequest {
  readonly path: string;
  readonly body: string;
  /** Id of the order or window, by which the platform recognizes a resend. */
  readonly id: string;
  readonly fence: number;
  /** Called in the tick in which the body is written; the request is aborted if it returns false. */
  readonly mayWrite: () => boolean;
}

/** Response of the platform. @public */
export interface PlatformResponse {
  readonly status: number;
  readonly body: string;
}

/** Maximum time from the start of a request to its response, in milliseconds. @public */
export const REQUEST_DEADLINE_MS = 250;

/** Maximum size of a response body. */
const MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

const CONTINUE_HEADERS = { expect: '100-continue', connection: 'close' };

/**
 * Calls the platform over a new connection for each request. With `Expect: 100-continue` the body is
 * written only after a round trip to the platform, in the same tick as the last lease check. At the
 * deadline the connection is reset, so that the kernel keeps no bytes that it would send later.
 * @public
 */
export class PlatformClient {
  readonly #host: string;

  readonly #port: number;

  readonly #timer: Timer;

  constructor(address: string, timer: Timer) {
    const { host, port } = splitAddress(address);
    this.#host = host;
    this.#port = port;
    this.#timer = timer;
  }

  /** Sends a request. `notRun` of a failure is `unknown` if the body can have reached the platform. */
  send({
    path,
    body,
    id,
    fence,
    mayWrite,
  }: PlatformRequest): Promise<Result<PlatformResponse, Failure>> {
    const headers = {
      ...CONTINUE_HEADERS,
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
      'berylwood-request': id,
      'berylwood-fence': fence,
    };
    const request = this.#start('POST', path, headers);
    let isWritten = false;
    request.once('continue', () => {
      if (!mayWrite()) {
        request.destroy(new Error('the lease was lost before the body was written'));
        return;
      }
      isWritten = true;
      request.end(body);
    });
    return this.#awaitResponse(request, () => (isWritten ? 'unknown' : true));
  }

  /** Fetches the platform's list of instances, which may lag behind. */
  async list(): Promise<Result<PlatformInstance[], Failure>> {
    const request = this.#start('GET', '/instances', { connection: 'close' });
    request.end();
    const answer = await this.#awaitResponse(request, () => true);
    return answer.andThen(({ body }) => {
      const parsed = platformListSchema.safeParse(JSON.parse(body));
      if (parsed.success) return ok(parsed.data.instances);
      return fail(controlCodes.platformFailed, parsed.error.message);
    });
  }

  #start(method: string, path: string, headers: Record<string, string | number>): ClientRequest {
    const { host, port } = { host: this.#host, port: this.#port };
    return startRequest({ host, port, method, path, headers, agent: false });
  }

  #awaitResponse(
    request: ClientRequest,
    notRun: () => true | 'unknown',
  ): Promise<Result<PlatformResponse, Failure>> {
    return new Promise((resolve) => {
      const failWith = (message: string): void =>
        resolve(fail(controlCodes.platformFailed, message, { notRun: notRun() }));
      const deadline = this.#timer.after(REQUEST_DEADLINE_MS, () => {
        failWith(`no answer within ${REQUEST_DEADLINE_MS} ms`);
        if (request.socket) resetSocket(request.socket);
        request.destroy();
      });
      request.once('error', (error) => failWith(error.message));
      request.once('close', () => {
        deadline[Symbol.dispose]();
        failWith('the connection was closed');
      });
      request.once('response', (response) => {
        readText(response).then(
          (body) => resolve(ok({ status: response.statusCode ?? 0, body })),
          (error: Error) => failWith(error.message),
        );
      });
    });
  }
}

async function readText(response: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of response) {
    size += (chunk as Buffer).byteLength;
    if (size > MAX_RESPONSE_BYTES) throw new Error('the answer is too long');
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString();
}
