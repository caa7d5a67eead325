import { Agent, type ClientRequest } from 'node:http';
import type { Duplex } from 'node:stream';
import type { Socket } from 'node:net';

/**
 * Margin below the keep-alive time that the endpoint states, in milliseconds, so that no request is sent
 * on a connection that the endpoint is just closing.
 */
const KEEP_ALIVE_MARGIN_MS = 600;

/** Idle time of connections whose endpoint states no keep-alive time, in milliseconds. */
const DEFAULT_IDLE_MS = 4000;

/** Idle time before the kernel's first TCP keep-alive probe, in milliseconds. */
const PROBE_DELAY_MS = 1000;

/**
 * Connection pool of one endpoint. It reuses the most recently used connection first, and closes idle
 * connections before the endpoint does.
 */
export class EndpointAgent extends Agent {
  constructor(maxConnections: number) {
    super({
      keepAlive: true,
      keepAliveMsecs: PROBE_DELAY_MS,
      maxSockets: maxConnections,
      maxFreeSockets: maxConnections,
      scheduling: 'lifo',
      // Makes the agent close idle connections on a timeout.
      timeout: DEFAULT_IDLE_MS,
    });
  }

  override keepSocketAlive(stream: Duplex): boolean {
    const socket = stream as Socket & { _httpMessage?: ClientRequest & { idleMs?: number } };
    // eslint-disable-next-line no-underscore-dangle -- the agent's only reference to the last request
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

/**
 * Idle time of a connection for the keep-alive time that the endpoint states, in milliseconds; 0 to close
 * the connection immediately.
 */
export function usableIdleMs(statedMs: number | undefined): number {
  if (statedMs === undefined) return DEFAULT_IDLE_MS;
  return Math.max(0, statedMs - KEEP_ALIVE_MARGIN_MS);
}
