import { isIPv4, isIPv6 } from 'node:net';
import type { Id } from '@berylwood/base';

/** Address to which a connection can be opened, `IP:PORT`; see `parseAddress`. @public */
export type Address = Id<'address'>;

const MAX_PORT = 65_535;

const IPV4_ADDRESS = /^([\d.]+):(\d{1,5})$/;

/** An IPv6 address in brackets; a zone index names an interface of another machine. */
const IPV6_ADDRESS = /^\[([^%\]]+)\]:(\d{1,5})$/;

/** Splits `IP:PORT`; an IPv6 address is in brackets. @public */
export function splitAddress(address: string): { host: string; port: number } {
  const at = address.lastIndexOf(':');
  const host = address.slice(0, at).replace(/^\[|\]$/g, '');
  return { host, port: Number(address.slice(at + 1)) };
}

/**
 * Returns the address if a connection to it can be opened, and undefined otherwise: `IP:PORT` with a port
 * from 1 to 65535. Node.js throws on other ports, and resolves other hosts as names.
 * @public
 */
export function parseAddress(text: string): Address | undefined {
  const [, ipv4 = '', ipv4Port] = IPV4_ADDRESS.exec(text) ?? [];
  const [, ipv6 = '', ipv6Port] = IPV6_ADDRESS.exec(text) ?? [];
  const port = Number(ipv4Port ?? ipv6Port ?? 0);
  const isHost = isIPv4(ipv4) || isIPv6(ipv6);
  return isHost && port > 0 && port <= MAX_PORT ? (text as Address) : undefined;
}
