import type { IncomingMessage, ServerResponse } from 'node:http';
import { inflateRawSync } from 'node:zlib';
import type { Journal, Metrics, Timer } from '@berylwood/base';
import type { Mesh, OperatorListener, StoredConfiguration } from '@berylwood/registry';
import { gatewayEvents } from './events';
import { operatorEvents } from './operatorEvents';
import { postponeCall } from './postponeCall';
import type { ReadRedirects } from './ReadRedirects';

/** @internal */
export interface ConfigurationReadsOptions {
  readonly mesh: Pick<Mesh, 'readNewest'>;
  readonly journal: Journal;
  readonly metrics: Metrics;
  readonly timer: Timer;
  /** Bandwidth of this machine's network link in Mbit/s; undefined if it is not known. */
  readonly linkMbps: number | undefined;
  readonly redirects: Pick<ReadRedirects, 'find'>;
  /** Size of the document in force on this instance, in bytes; 0 without one. */
  readonly documentBytes: () => number;
}

/** How a read ended: `abandoned` means that its caller left before the response was sent. */
type ReadOutcome = 'sent' | 'abandoned' | 'postponed' | 'redirected';

/** Reads of the newest configuration by operators. @internal */
export class ConfigurationReads {
  readonly #options: ConfigurationReadsOptions;

  readonly #reads;

  readonly #seconds;

  constructor(options: ConfigurationReadsOptions) {
    this.#options = options;
    const { metrics } = options;
    const help = 'Reads of the configuration by operators, by outcome';
    this.#reads = metrics.counter('configuration_reads_total', help, ['outcome']);
    const secondsHelp = 'Time from a read of the configuration to the end of its response';
    this.#seconds = metrics.histogram('configuration_read_seconds', secondsHelp);
  }

  async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { mesh, timer, redirects, documentBytes } = this.#options;
    const early = redirects.find(documentBytes());
    if (early) {
      this.#redirect(request, response, early);
      return;
    }
    const startedAt = timer.now();
    const result = await mesh.readNewest();
    if (result.isErr()) this.#postpone(response, result.error.message);
    else if (!result.value) this.#postpone(response, 'no configuration is committed');
    else this.#answer(request, response, result.value, startedAt);
  }

  /** Responds with 503 and Retry-After when the newest configuration is not known. */
  #postpone(response: ServerResponse, reason: string): void {
    this.#log('postponed', { reason });
    this.#count('postponed');
    postponeCall(response, reason);
  }

  /** Sends the caller to another instance, which confirms by itself what is the newest configuration. */
  #redirect(
    request: IncomingMessage,
    response: ServerResponse,
    { address }: OperatorListener,
  ): void {
    this.#log('redirected', { to: address });
    this.#count('redirected');
    const location = `http://${address}${request.url ?? ''}`;
    response.writeHead(307, { Location: location, 'Content-Length': 0 }).end();
  }

  #answer(
    request: IncomingMessage,
    response: ServerResponse,
    { version, body: compressed }: StoredConfiguration,
    startedAt: number,
  ): void {
    const body = inflateRawSync(compressed);
    // The newest document may be larger than the one in force here.
    const listener = this.#options.redirects.find(body.length);
    if (listener) this.#redirect(request, response, listener);
    else this.#send(response, { version, body }, startedAt);
  }

  #send(response: ServerResponse, { version, body }: StoredConfiguration, startedAt: number): void {
    const { journal, linkMbps, timer } = this.#options;
    const confirmedMs = Math.round(timer.now() - startedAt);
    this.#log('read', { version });
    response.once('close', () => {
      const totalMs = Math.round(timer.now() - startedAt);
      const outcome = response.writableFinished ? 'sent' : 'abandoned';
      const bytes = body.length;
      journal.record(operatorEvents.configurationRead, {
        ...{ version, outcome, bytes, linkMbps, confirmedMs, totalMs },
      });
      this.#count(outcome);
      this.#seconds.observe(totalMs / 1000);
    });
    response.writeHead(200, { 'Content-Type': 'application/json', 'Content-Length': body.length });
    response.end(body);
  }

  #count(outcome: ReadOutcome): void {
    this.#reads.inc({ outcome });
  }

  #log(outcome: string, fields: Record<string, unknown>): void {
    this.#options.journal.record(gatewayEvents.operatorAnswered, { outcome, ...fields });
  }
}
