import { isUtf8 } from 'node:buffer';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { deflateRawSync } from 'node:zlib';
import { Failure, fail, type Journal, type Metrics, type Timer } from '@berylwood/base';
import type { BodyBudget } from '@berylwood/policy';
import { endEarly, readBody } from '@berylwood/link';
import type { Mesh } from '@berylwood/registry';
import { ConfigurationReads } from './ConfigurationReads';
import { EvacuationCalls } from './EvacuationCalls';
import { gatewayEvents } from './events';
import { gatewayCodes } from './codes';
import type { FaultLog } from './FaultLog';
import { HttpListener } from './HttpListener';
import { RETRY_AFTER_MS, postponeCall } from './postponeCall';
import type { ReadRedirects } from './ReadRedirects';
import type { RoutingConfiguration } from './RoutingConfiguration';
import { sendFailure } from './sendFailure';
import type { Wire } from './Wire';

/** Maximum size of a configuration, in bytes; thousands of routes fit. */
const MAX_CONFIGURATION_BYTES = 16 * 1024 * 1024;

/** Time for which idle connections of operators are kept open, in milliseconds. */
const KEEP_ALIVE_MS = 30_000;

/** @internal */
export interface OperatorServerOptions {
  readonly wire: Wire;
  readonly mesh: Mesh;
  readonly journal: Journal;
  readonly metrics: Metrics;
  readonly faults: FaultLog;
  readonly timer: Timer;
  readonly bodies: BodyBudget;
  /** Bandwidth of this machine's network link in Mbit/s; undefined if it is not known. */
  readonly linkMbps: number | undefined;
  readonly redirects: Pick<ReadRedirects, 'find'>;
  /** Size of the document in force on this instance, in bytes; 0 without one. */
  readonly documentBytes: () => number;
}

/**
 * HTTP server for operators: PUT commits a configuration, GET returns the newest one; POST and DELETE on the path of
 * a data centre start and end its evacuation.
 * @internal
 */
export class OperatorServer extends HttpListener {
  readonly #options: OperatorServerOptions;

  readonly #evacuations: EvacuationCalls;

  readonly #reads: ConfigurationReads;

  protected readonly server: Server;

  constructor(parts: OperatorServerOptions) {
    super();
    this.#options = parts;
    this.#evacuations = new EvacuationCalls(parts);
    this.#reads = new ConfigurationReads(parts);
    this.server = createServer({ keepAliveTimeout: KEEP_ALIVE_MS }, (request, response) => {
      this.#serve(request, response);
    });
  }

  #serve(request: IncomingMessage, response: ServerResponse): void {
    const { wire } = this.#options;
    const path = (request.url ?? '').split('?', 1)[0] ?? '';
    const { configuration, evacuations } = wire.paths;
    if (path.startsWith(evacuations)) {
      const segment = path.slice(evacuations.length);
      this.#contain(response, () => this.#evacuations.serve(request, segment, response));
    } else if (path !== configuration) {
      response.writeHead(404).end();
    } else if (request.method === 'PUT') {
      const { bodies } = this.#options;
      readBody(request, response, { maxBytes: MAX_CONFIGURATION_BYTES, bodies }, (body) => {
        if (body === 'tooLarge') this.#reject(response, 413);
        else if (body === 'overBudget') this.#reject(response, 503);
        else if (body !== 'gone') this.#contain(response, () => this.#configure(body, response));
      });
    } else if (request.method === 'GET') {
      this.#contain(response, () => this.#reads.serve(request, response));
    } else response.writeHead(405, { Allow: 'GET, PUT' }).end();
  }

  /** Rejects a call whose body has not arrived completely. */
  #reject(response: ServerResponse, status: 413 | 503): void {
    const { timer } = this.#options;
    const retry = status === 503 ? { 'Retry-After': String(RETRY_AFTER_MS / 1000) } : {};
    response.writeHead(status, { Connection: 'close', 'Content-Length': '0', ...retry });
    endEarly(response, '', timer);
  }

  /** Runs a call of an operator; an exception ends this call alone. */
  #contain(response: ServerResponse, call: () => Promise<void>): void {
    call().catch((error: unknown) => {
      const { faults, timer } = this.#options;
      faults.record('operatorCall', error, {});
      if (response.headersSent) response.destroy();
      else
        sendFailure(response, new Failure(gatewayCodes.fault, String(error)), {
          isStopping: true,
          timer,
        });
    });
  }

  async #configure(body: Buffer, response: ServerResponse): Promise<void> {
    const { wire, mesh, timer } = this.#options;
    const decoded = isUtf8(body)
      ? wire.decodeConfiguration(body.toString('utf8'))
      : fail<RoutingConfiguration>(gatewayCodes.configurationInvalid, 'the body is not UTF-8');
    if (decoded.isErr()) {
      this.#logCall('refused', undefined, decoded.error.message);
      sendFailure(response, decoded.error, { timer });
      return;
    }
    const { version } = decoded.value;
    const result = await mesh.configure(version, deflateRawSync(body));
    if (result.isErr()) {
      this.#postpone(response, version, result.error);
      return;
    }
    const { isStored, version: storedVersion } = result.value;
    this.#logCall(isStored ? 'stored' : 'kept', version, `stored version is ${storedVersion}`);
    this.#sendJson(response, Buffer.from(JSON.stringify({ version: storedVersion })));
  }

  /** Responds with 503 and Retry-After when a configuration could not be committed. */
  #postpone(response: ServerResponse, version: number | undefined, failure: Failure): void {
    this.#logCall('postponed', version, failure.message);
    postponeCall(response, failure.message);
  }

  #logCall(outcome: string, version: number | undefined, reason: string | undefined): void {
    this.#options.journal.record(gatewayEvents.operatorAnswered, { outcome, version, reason });
  }

  #sendJson(response: ServerResponse, body: Buffer): void {
    response.writeHead(200, {
      'Content-Type': 'application/json',
      'Content-Length': body.length,
    });
    response.end(body);
  }
}
