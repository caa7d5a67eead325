import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { text } from 'node:stream/consumers';

function entryOf({ id, service, address }) {
  return {
    service,
    address,
    zone: 'zone-a',
    version: 'v1',
    slots: 64,
    state: 'ready',
    coldRemainingMs: 0,
    phase: 'mixed',
    models: [{ name: 'm', version: 1, adapters: [] }],
    id,
  };
}

/** The platform of a case: the list of engines, and the duties, which it accepts. */
export class PlatformStandIn {
  engines = [];

  address = '';

  /** Entries of the list, as bytes. */
  #entries = [];

  #server = createServer(async (request, response) => {
    await text(request);
    response.setHeader('Content-Type', 'application/json');
    if (request.url.startsWith('/instances')) this.#writeList(response);
    else response.end('{}');
  });

  async open() {
    await new Promise((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
    this.address = `127.0.0.1:${this.#server.address().port}`;
  }

  /** Adds an engine, which is closed with the platform. */
  add(engine) {
    this.engines.push(engine);
    this.#entries.push(Buffer.from(JSON.stringify(entryOf(engine))));
  }

  /** Adds an entry as bytes, which need not be readable. */
  addEntry(bytes) {
    this.#entries.push(bytes);
  }

  removeEntry(bytes) {
    this.#entries = this.#entries.filter((entry) => entry !== bytes);
  }

  close() {
    for (const engine of this.engines) engine.close();
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #writeList(response) {
    response.write('{"instances":[');
    this.#entries.forEach((entry, index) => {
      if (index > 0) response.write(',');
      response.write(entry);
    });
    response.end('],"nextToken":null}');
  }
}
