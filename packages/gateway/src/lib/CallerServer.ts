import { createServer, type Server } from 'node:http';
import { Exchange } from './Exchange';
import type { GatewayContext } from './GatewayContext';
import { HttpListener } from './HttpListener';
import type { CallerLimits } from './RoutingConfiguration';

/** Headers are bounded here before the configuration is known, which may only ask for less. */
const MAX_HEADER_BYTES = 64 * 1024;

/** Interval at which slow headers are looked for, in milliseconds. */
const HEADER_CHECK_INTERVAL_MS = 1000;

const DEFAULT_LIMITS = { headerTimeoutMs: 10_000, idleTimeoutMs: 15_000 };

/** Takes the requests of callers. @internal */
export class CallerServer extends HttpListener {
  protected readonly server: Server;

  #open = 0;

  constructor(context: GatewayContext) {
    super();
    this.server = createServer(
      {
        maxHeaderSize: MAX_HEADER_BYTES,
        connectionsCheckingInterval: HEADER_CHECK_INTERVAL_MS,
        headersTimeout: DEFAULT_LIMITS.headerTimeoutMs,
        requestTimeout: 0,
        keepAliveTimeout: DEFAULT_LIMITS.idleTimeoutMs,
        noDelay: true,
      },
      (request, response) => {
        this.#open += 1;
        response.once('close', () => {
          this.#open -= 1;
        });
        new Exchange(context, request, response).start();
      },
    );
  }

  /** Requests without a final answer. */
  get openRequests(): number {
    return this.#open;
  }

  applyLimits({ headerTimeoutMs, idleTimeoutMs }: CallerLimits): void {
    this.server.headersTimeout = headerTimeoutMs;
    this.server.keepAliveTimeout = idleTimeoutMs;
  }

  closeIdleConnections(): void {
    this.server.closeIdleConnections();
  }
}
