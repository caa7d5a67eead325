/** Splits `IP:PORT`; an IPv6 address is in brackets. @public */
export function splitAddress(address: string): { host: string; port: number } {
  const at = address.lastIndexOf(':');
  const host = address.slice(0, at).replace(/^\[|\]$/g, '');
  return { host, port: Number(address.slice(at + 1)) };
}
