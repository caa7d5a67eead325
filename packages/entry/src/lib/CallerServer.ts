import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { createServer as createSecureServer, type Server as SecureServer } from 'node:https';
import { Failure, baseCodes } from '@berylwood/base';
import { listenOn, paceConnections, type PacedConnectionParts } from '@berylwood/link';
import type { EntrySettings } from '@berylwood/schema';
import type { CertificateWatch } from './CertificateWatch';
import { sendFailure } from './sendFailure';

/** Callbacks from the caller server to its entry. @internal */
export interface CallerHandlers {
  serve(request: IncomingMessage, response: ServerResponse): Promise<void>;
  isReady(): boolean;
  metrics(): Promise<string>;
}

const KEEP_ALIVE_TIMEOUT_MS = 65_000;

/** Idle timeout of connections while the server closes; 0 would disable the timeout. */
const CLOSING_KEEP_ALIVE_TIMEOUT_MS = 1;

const MAX_HEADER_BYTES = 32 * 1024;
const CONNECTION_CHECK_INTERVAL_MS = 1000;

/**
 * HTTP/1.1 server for callers, with TLS if a certificate is given. It also serves health, readiness
 * and metrics.
 * @internal
 */
export class CallerServer {
  readonly #settings: EntrySettings;

  readonly #handlers: CallerHandlers;

  readonly #server: Server;

  #isClosing = false;

  constructor(
    settings: EntrySettings,
    handlers: CallerHandlers,
    pace: PacedConnectionParts,
    watch?: CertificateWatch,
  ) {
    this.#settings = settings;
    this.#handlers = handlers;
    const options = {
      headersTimeout: settings.headersTimeoutMs,
      requestTimeout: settings.bodyTimeoutMs,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
      maxHeaderSize: MAX_HEADER_BYTES,
      noDelay: true,
    };
    const answer = (request: IncomingMessage, response: ServerResponse): void => {
      this.#answer(request, response);
    };
    this.#server = watch
      ? createSecureServer({ ...options, ...watch.current, minVersion: 'TLSv1.2' }, answer)
      : createServer(options, answer);
    if (watch) {
      watch.onChange = (certificate) => {
        (this.#server as SecureServer).setSecureContext(certificate);
      };
    }
    paceConnections(this.#server, { ...pace, isSecure: watch !== undefined });
    this.#server.maxConnections = settings.maxConnections;
  }

  /** Listens and resolves to the address in use. */
  listen(): Promise<string> {
    return listenOn(this.#server, this.#settings.listen);
  }

  /** Closes each connection after its current response, and resolves when all are closed. */
  async close(): Promise<void> {
    this.#isClosing = true;
    // Responses that have started promised keep-alive, so their connections end by idle timeout.
    this.#server.keepAliveTimeout = CLOSING_KEEP_ALIVE_TIMEOUT_MS;
    const closed = new Promise((resolve) => {
      this.#server.close(resolve);
    });
    this.#server.closeIdleConnections();
    await closed;
  }

  #answer(request: IncomingMessage, response: ServerResponse): void {
    if (this.#isClosing) response.shouldKeepAlive = false;
    const { isReady, metrics, serve } = this.#handlers;
    switch (request.url) {
      case '/healthz':
        sendText(response, 200, 'ok\n');
        break;
      case '/readyz':
        if (isReady()) sendText(response, 200, 'ready\n');
        else sendText(response, 503, 'not ready\n');
        break;
      case '/metrics':
        metrics().then(
          (text) => sendText(response, 200, text),
          () => response.destroy(),
        );
        break;
      default:
        serve(request, response).catch((error: unknown) => {
          sendFailure(
            response,
            new Failure(baseCodes.internal, 'internal error', { cause: error }),
          );
        });
    }
  }
}

function sendText(response: ServerResponse, status: number, text: string): void {
  response.writeHead(status, { 'content-type': 'text/plain; charset=utf-8' });
  response.end(text);
}
