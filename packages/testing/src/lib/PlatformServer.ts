import type { IncomingMessage, ServerResponse } from 'node:http';
import { HttpFault, StandIn, sendJson } from './StandIn';

/** Stand-in of the platform: endpoint orders, usage intake and the list of instances. @public */
export class PlatformServer extends StandIn {
  readonly name = 'platform';

  protected override serve(
    request: IncomingMessage,
    response: ServerResponse,
    url: URL,
    body: Buffer,
  ): void {
    const { method } = request;
    if (method === 'POST' && url.pathname === '/orders') {
      this.history.add('order', JSON.parse(body.toString()) as Record<string, unknown>);
      return sendJson(response, 200, { accepted: true });
    }
    if (method === 'POST' && url.pathname === '/usage') {
      this.history.add('usage', JSON.parse(body.toString()) as Record<string, unknown>);
      return sendJson(response, 200, { accepted: true });
    }
    if (url.pathname === '/instances') return sendJson(response, 200, { instances: [] });
    throw new HttpFault(404, 'no such path');
  }
}
