import { randomUUID } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import type { Journal, Timer } from '@berylwood/base';
import type { ContentQuarantine, SentContent, Suspicion } from '@berylwood/policy';
import { contentOf, type RequestContent } from './contentOf';
import type { Endpoint } from './Endpoint';
import { gatewayEvents } from './events';
import type { ResolvedRequest } from './resolveRequest';

/** Parts of the gateway that a guard uses. */
interface ContentGuardContext {
  readonly quarantine: ContentQuarantine;
  readonly timer: Timer;
  readonly journal: Journal;
}

/** Reports the outcomes of one request's attempts to the quarantine of its contents. @internal */
export class ContentGuard {
  readonly #context: ContentGuardContext;

  readonly #resolved: ResolvedRequest;

  readonly #request: Pick<IncomingMessage, 'method' | 'url'>;

  readonly #body: Buffer;

  /** Computed when it is needed first. */
  #content: RequestContent | undefined;

  /** What was known when the current attempt was sent; undefined if nothing was suspect. */
  #sent: readonly Suspicion[] | undefined;

  #isAnswered = false;

  constructor(
    context: ContentGuardContext,
    resolved: ResolvedRequest,
    request: Pick<IncomingMessage, 'method' | 'url'>,
    body: Buffer,
  ) {
    this.#context = context;
    this.#resolved = resolved;
    this.#request = request;
    this.#body = body;
  }

  /** The content for which the request may not be sent now, if any. */
  findQuarantined(): string | undefined {
    const { quarantine, timer } = this.#context;
    if (quarantine.size === 0) return undefined;
    return quarantine.findQuarantined(this.#keys, timer.now());
  }

  /** Records that an attempt is sent. */
  sent(): void {
    const { quarantine, timer, journal } = this.#context;
    this.#sent = undefined;
    if (quarantine.size === 0) return;
    this.#sent = quarantine.suspicionsOf(this.#keys, timer.now());
    const content = quarantine.startTrial(this.#keys, this.#requestContent.whole, timer.now());
    if (content === undefined) return;
    const { attempt: request } = this.#resolved.metadata;
    journal.record(gatewayEvents.contentTried, { request, content });
  }

  /** Records that an endpoint has begun to answer; clears the contents. */
  answered(): void {
    const { quarantine, timer } = this.#context;
    this.#isAnswered = true;
    if (quarantine.size > 0) quarantine.answered(this.#keys, timer.now());
  }

  /**
   * Records that the connection of the attempt was lost. Resolves once it is known whether the endpoint has
   * crashed, so that another attempt does not repeat a crash that is not known yet; at once if it had
   * begun to answer.
   */
  async lost(endpoint: Endpoint): Promise<void> {
    if (this.#isAnswered || !(await endpoint.hasCrashed())) return;
    const { quarantine, timer, journal } = this.#context;
    const contents = this.#keys;
    const { attempt: request } = this.#resolved.metadata;
    const { id } = endpoint.listed;
    journal.record(gatewayEvents.endpointCrashed, { request, endpoint: id, contents });
    const sent = this.#sent ?? contents.map((content): Suspicion => [content, 0, []]);
    const { whole } = this.#requestContent;
    const witnessOfWhole = randomUUID();
    const withWitness = (suspicion: Suspicion): SentContent => ({
      suspicion,
      witness: suspicion[0] === whole ? witnessOfWhole : whole,
    });
    quarantine.crashed(sent.map(withWitness), timer.now());
  }

  get #requestContent(): RequestContent {
    const { method = '', url: target = '' } = this.#request;
    this.#content ??= contentOf(this.#resolved, { method, target, body: this.#body });
    return this.#content;
  }

  get #keys(): readonly string[] {
    const { parts, whole } = this.#requestContent;
    return [...parts, whole];
  }
}
