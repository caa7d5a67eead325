import { Agent, type ClientRequest } from 'node:http';
import type { Duplex } from 'node:stream';
import type { Socket } from 'node:net';

/** Idle time kept below the one that the endpoint states, so that both ends don't cross. */
const KEEP_ALIVE_MARGIN_MS = 600;

/** Idle time of connections whose endpoint states none. */
const DEFAULT_IDLE_MS = 4000;

/** Delay of the first probe of an idle connection by the kernel. */
const PROBE_DELAY_MS = 1000;

/** Connections to one endpoint: the latest used first, closed before the endpoint closes them. */
export class EndpointAgent extends Agent {
  constructor(maxConnections: number) {
    super({
      keepAlive: true,
      keepAliveMsecs: PROBE_DELAY_MS,
      maxSockets: maxConnections,
      maxFreeSockets: maxConnections,
      scheduling: 'lifo',
      // Makes the agent close a free connection when its idle time ends.
      timeout: DEFAULT_IDLE_MS,
    });
  }

  override keepSocketAlive(stream: Duplex): boolean {
    const socket = stream as Socket & { _httpMessage?: ClientRequest & { idleMs?: number } };
    // eslint-disable-next-line no-underscore-dangle -- the agent's only link to the last request
    const idleMs = socket._httpMessage?.idleMs ?? DEFAULT_IDLE_MS;
    if (idleMs <= 0) return false;
    socket.setKeepAlive(true, PROBE_DELAY_MS);
    socket.unref();
    socket.setTimeout(idleMs);
    return true;
  }

  override reuseSocket(stream: Duplex, request: ClientRequest): void {
    super.reuseSocket(stream, request);
    (stream as Socket).setTimeout(0);
  }
}

/** Idle time to use for an endpoint that states its own, in milliseconds; 0 to close at once. */
export function usableIdleMs(statedMs: number | undefined): number {
  if (statedMs === undefined) return DEFAULT_IDLE_MS;
  return Math.max(0, statedMs - KEEP_ALIVE_MARGIN_MS);
}
