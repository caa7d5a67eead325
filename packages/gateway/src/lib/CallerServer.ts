import { createServer, type Server } from 'node:http';
import { Exchange } from './Exchange';
import type { GatewayContext } from './GatewayContext';
import { HttpListener } from './HttpListener';
import type { CallerLimits } from './RoutingConfiguration';
import { toServerTimeoutMs } from './toServerTimeoutMs';

/**
 * Maximum size of headers, in bytes. It is fixed before a configuration is loaded, so a configuration
 * may only ask for less.
 */
const MAX_HEADER_BYTES = 64 * 1024;

/** Interval at which the server checks for header timeouts, in milliseconds. */
const HEADER_CHECK_INTERVAL_MS = 1000;

const DEFAULT_LIMITS = { headerTimeoutMs: 10_000, idleTimeoutMs: 15_000 };

/** HTTP server for callers' requests. @internal */
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

  /** Number of requests whose response is not complete. */
  get openRequests(): number {
    return this.#open;
  }

  applyLimits({ headerTimeoutMs, idleTimeoutMs }: CallerLimits): void {
    this.server.headersTimeout = toServerTimeoutMs(headerTimeoutMs);
    this.server.keepAliveTimeout = toServerTimeoutMs(idleTimeoutMs);
  }

  closeIdleConnections(): void {
    this.server.closeIdleConnections();
  }
}
