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

/** The agent's only reference to the last request on a connection. */
type PooledSocket = Socket & { readonly _httpMessage?: ClientRequest & { idleMs?: number } };

/** Closes an idle connection on which bytes arrive, as they would be read as the next response. */
function destroyIdleSocket(this: Socket): void {
  this.destroy();
}

/** Keeps a connection open until shortly before the endpoint closes it. */
function keepSocketAlive(stream: Duplex): boolean {
  const socket = stream as PooledSocket;
  // eslint-disable-next-line no-underscore-dangle -- a field of Node.js
  const idleMs = socket._httpMessage?.idleMs ?? DEFAULT_IDLE_MS;
  if (idleMs <= 0) return false;
  socket.setKeepAlive(true, PROBE_DELAY_MS);
  socket.unref();
  socket.setTimeout(idleMs);
  socket.on('data', destroyIdleSocket);
  return true;
}

/**
 * Creates the connection pool of one endpoint. It reuses the most recently used connection first, and
 * closes idle connections before the endpoint does.
 * @internal
 */
export function createEndpointAgent(maxConnections: number): Agent {
  const agent = new Agent({
    keepAlive: true,
    keepAliveMsecs: PROBE_DELAY_MS,
    maxSockets: maxConnections,
    maxFreeSockets: maxConnections,
    scheduling: 'lifo',
    // Makes the agent close idle connections on a timeout.
    timeout: DEFAULT_IDLE_MS,
  });
  const reuseSocket = agent.reuseSocket.bind(agent);
  // A subclass would need `node:http` when the module is evaluated; see apps/berylwood/src/gateway.ts.
  return Object.assign(agent, {
    keepSocketAlive,
    reuseSocket: (stream: Duplex, request: ClientRequest) => {
      reuseSocket(stream, request);
      (stream as Socket).off('data', destroyIdleSocket).setTimeout(0);
    },
  });
}

/**
 * Idle time of a connection for the keep-alive time that the endpoint states, in milliseconds; 0 to close
 * the connection immediately.
 */
export function usableIdleMs(statedMs: number | undefined): number {
  if (statedMs === undefined) return DEFAULT_IDLE_MS;
  return Math.max(0, statedMs - KEEP_ALIVE_MARGIN_MS);
}
