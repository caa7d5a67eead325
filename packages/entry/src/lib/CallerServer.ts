import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { createServer as createSecureServer, type Server as SecureServer } from 'node:https';
import { Failure, baseCodes } from '@berylwood/base';
import { listenOn } from '@berylwood/link';
import type { EntrySettings } from '@berylwood/schema';
import type { CertificateWatch } from './CertificateWatch';
import { sendFailure } from './sendFailure';

/** What the caller server needs of its entry. @internal */
export interface CallerHandlers {
  serve(request: IncomingMessage, response: ServerResponse): Promise<void>;
  isReady(): boolean;
  metrics(): Promise<string>;
}

const KEEP_ALIVE_TIMEOUT_MS = 65_000;

/** Time that a connection is kept after its answer while the server closes; 0 would mean for ever. */
const CLOSING_KEEP_ALIVE_TIMEOUT_MS = 1;

const MAX_HEADER_BYTES = 32 * 1024;
const CONNECTION_CHECK_INTERVAL_MS = 1000;

/** HTTP/1.1 listener for callers, with TLS when a certificate is given, with health, readiness and metrics. @internal */
export class CallerServer {
  readonly #settings: EntrySettings;

  readonly #handlers: CallerHandlers;

  readonly #server: Server;

  #isClosing = false;

  constructor(settings: EntrySettings, handlers: CallerHandlers, watch?: CertificateWatch) {
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
    this.#server.maxConnections = settings.maxConnections;
  }

  /** Listens and resolves to the address in use. */
  listen(): Promise<string> {
    return listenOn(this.#server, this.#settings.listen);
  }

  /** Closes each connection after its present answer, and resolves when all are closed. */
  async close(): Promise<void> {
    this.#isClosing = true;
    // A connection whose answer had begun before is kept open by its headers, so it ends as idle.
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
