import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { text } from 'node:stream/consumers';
import { setTimeout as sleep } from 'node:timers/promises';

/**
 * An engine of a case. It checks the named instance, and passes each request to `answer`, which writes to
 * the response or, for an answer in another framing, to its socket.
 */
export class EngineStandIn {
  /** Requests that the engine began to run. */
  runs = [];

  address = '';

  #answer;

  #sockets = new Set();

  #server = createServer((request, response) => this.#serve(request, response));

  constructor({ id, service, answer }) {
    this.id = id;
    this.service = service;
    this.#answer = answer;
  }

  async open() {
    this.#server.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.once('close', () => this.#sockets.delete(socket));
    });
    await this.#listen(0);
    this.address = `127.0.0.1:${this.#server.address().port}`;
  }

  /** Resets all connections and refuses new ones for a time. */
  async crash(downMs) {
    this.#server.close();
    for (const socket of this.#sockets) socket.resetAndDestroy();
    await sleep(downMs);
    await this.#listen(Number(this.address.split(':')[1]));
  }

  /** Headers that each answer bears. */
  headersOf(request) {
    return {
      'Attempt-Id': request.headers['attempt-id'],
      'Engine-Signature': `signed.by.${this.id}`,
    };
  }

  async #serve(request, response) {
    let body;
    try {
      body = await text(request);
    } catch {
      // The caller has closed the connection.
      return;
    }
    if (request.url === '/healthz') {
      response.writeHead(200, { 'Instance-Id': this.id }).end();
      return;
    }
    const expected = request.headers['expected-instance'];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, this.headersOf(request)).end();
      return;
    }
    const attempt = request.headers['attempt-id'];
    this.runs.push({ attempt, path: request.url, at: performance.now(), body });
    await this.#answer({ engine: this, request, response, body });
  }

  #listen(port) {
    return new Promise((resolve) => {
      this.#server.listen(port, '127.0.0.1', resolve);
    });
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
