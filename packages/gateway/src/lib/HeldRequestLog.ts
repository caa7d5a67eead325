import type { Journal, Timer } from '@berylwood/base';
import type { Endpoint } from './Endpoint';
import type { EndpointDirectory } from './EndpointDirectory';
import { gatewayEvents } from './events';
import type { ResolvedRequest } from './resolveRequest';

/** Log lines of held requests per second; the failures of requests are always logged. */
const MAX_LINES_PER_S = 20;

/** Limits in one log line. */
const MAX_LOGGED_LIMITS = 4;

const SECOND_MS = 1000;

interface HeldRequestLogOptions {
  readonly directory: EndpointDirectory;
  readonly timer: Timer;
  readonly journal: Journal;
}

/** Logs which requests wait for a restricted endpoint, and why; a limited number of lines a second. @internal */
export class HeldRequestLog {
  readonly #options: HeldRequestLogOptions;

  #secondStartedAt = -Infinity;

  #lines = 0;

  constructor(options: HeldRequestLogOptions) {
    this.#options = options;
  }

  /** @param restricted - endpoints in service of the pool that have a limit or have asked for a pause. */
  record(
    { metadata, target: pool, rank }: ResolvedRequest,
    restricted: readonly Endpoint[],
    decision: Record<string, unknown>,
  ): void {
    const { timer, journal, directory } = this.#options;
    const now = timer.now();
    if (now - this.#secondStartedAt >= SECOND_MS) {
      this.#secondStartedAt = now;
      this.#lines = 0;
    }
    this.#lines += 1;
    if (this.#lines > MAX_LINES_PER_S) return;
    journal.record(gatewayEvents.requestHeld, {
      request: metadata.attempt,
      pool,
      rank,
      ...decision,
      instances: directory.instances(),
      hasLeader: directory.hasPermitLeader(),
      limits: restricted.slice(0, MAX_LOGGED_LIMITS).map(({ statements }) => statements.describe()),
    });
  }
}
