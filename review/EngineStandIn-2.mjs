import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { text } from 'node:stream/consumers';

const IDLE_TIMEOUT_MS = 15_000;

/**
 * An engine that follows the protocol of the users' pages. `answer(context)` writes its response to a request that
 * the engine runs.
 */
export class EngineStandIn {
  /** Requests that this engine has run, in the order of their start. */
  runs = [];

  port = 0;

  #options;

  #server;

  constructor({ id, service, version = 'v1', answer }) {
    this.#options = { id, service, answer };
    this.version = version;
  }

  get id() {
    return this.#options.id;
  }

  get listed() {
    const { id, service } = this.#options;
    return {
      id,
      service,
      address: `127.0.0.1:${this.port}`,
      zone: 'zone-a',
      version: this.version,
      slots: 64,
      state: 'ready',
      coldRemainingMs: 0,
    };
  }

  /** Listens, on the port that it had before if there is one. */
  async start() {
    this.#server = createServer({ keepAliveTimeout: IDLE_TIMEOUT_MS }, (request, response) =>
      this.#serve(request, response),
    );
    await new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(this.port, '127.0.0.1', resolve);
    });
    this.port = this.#server.address().port;
  }

  /** Resets all connections and refuses new ones, as a process that crashes does. */
  crash() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  close() {
    this.#server?.close();
    this.#server?.closeAllConnections();
  }

  async #serve(request, response) {
    const { id, answer } = this.#options;
    const body = await text(request).catch(() => undefined);
    if (body === undefined) return;
    const attempt = request.headers['attempt-id'];
    if (attempt !== undefined) response.setHeader('Attempt-Id', attempt);
    if ((request.headers['expected-instance'] ?? id) !== id) {
      response.writeHead(421, { 'Not-Executed': '1' }).end();
      return;
    }
    if (request.url === '/healthz') {
      response.writeHead(200, { 'Instance-Id': id }).end();
      return;
    }
    if (attempt === undefined) {
      response.writeHead(400, { 'Not-Executed': '1' }).end();
      return;
    }
    this.runs.push({ attempt, at: performance.now() });
    response.setHeader('Engine-Signature', `${id}.${this.version}.${attempt}`);
    answer({ request, response, attempt, engine: this });
  }
}
