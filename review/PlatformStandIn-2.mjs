import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { text } from 'node:stream/consumers';
import { URL } from 'node:url';

const PAGE_SIZE = 50;

/** The platform's list of engines, which lags, and its duty calls. */
export class PlatformStandIn {
  address = '';

  /** States of the list, oldest first, with the time from which each is true. */
  #states = [];

  #lagMs;

  /** Name of the node whose usage report was accepted last. */
  holder = '';

  #fence = 0;

  #server = createServer((request, response) => this.#serve(request, response));

  constructor({ lagMs = 800 } = {}) {
    this.#lagMs = lagMs;
  }

  async start() {
    await new Promise((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
    this.address = `127.0.0.1:${this.#server.address().port}`;
  }

  /** Sets what is true from now on; the list shows it after the lag. */
  setInstances(instances) {
    const at = this.#states.length === 0 ? -Infinity : performance.now();
    this.#states.push({ at, instances });
  }

  /** Begins anew for another deployment. */
  forgetDuties() {
    this.holder = '';
    this.#fence = 0;
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  get #listed() {
    const shownUntil = performance.now() - this.#lagMs;
    return this.#states.findLast(({ at }) => at <= shownUntil).instances;
  }

  async #serve(request, response) {
    const url = new URL(request.url, 'http://platform');
    response.setHeader('Content-Type', 'application/json');
    if (request.method === 'GET' && url.pathname === '/instances') {
      const from = Number(url.searchParams.get('pageToken') ?? 0);
      const all = this.#listed;
      const next = from + PAGE_SIZE < all.length ? String(from + PAGE_SIZE) : null;
      const instances = all.slice(from, from + PAGE_SIZE);
      response.end(JSON.stringify({ instances, nextToken: next }));
      return;
    }
    await text(request);
    const fence = Number(request.headers['fencing-token']);
    const isOutdated = fence < this.#fence;
    this.#fence = Math.max(this.#fence, fence);
    if (!isOutdated) this.holder = request.headers['duty-holder'];
    response.writeHead(isOutdated ? 409 : 200).end('{}');
  }
}
