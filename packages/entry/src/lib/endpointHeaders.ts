import type { IncomingHttpHeaders } from 'node:http';

/** Request headers that are passed to endpoints. */
const ALLOWED_HEADERS = [
  'accept',
  'accept-language',
  'content-type',
  'content-language',
  'user-agent',
];

/** Whether a text contains the secret, in plain or percent-encoded form. @internal */
export function holdsSecret(text: string, secret: string): boolean {
  if (text.includes(secret)) return true;
  if (!text.includes('%')) return false;
  try {
    return decodeURIComponent(text).includes(secret);
  } catch {
    return true;
  }
}

/** Whether a body contains the secret: plain, percent-encoded or with JSON escapes. @internal */
export function bodyHoldsSecret(body: Buffer, secret: string): boolean {
  if (body.includes(secret)) return true;
  if (!body.includes('%') && !body.includes('\\u00')) return false;
  const decoded = body
    .toString('latin1')
    .replace(/%([0-9a-f]{2})|\\u00([0-9a-f]{2})/gi, (_, percent: string, escape: string) =>
      String.fromCharCode(Number.parseInt(percent ?? escape, 16)),
    );
  return decoded.includes(secret);
}

/** Selects the allowed headers of a request that do not contain the secret. @internal */
export function endpointHeaders(
  headers: IncomingHttpHeaders,
  secret: string,
): Record<string, string> {
  const allowed: Record<string, string> = {};
  for (const name of ALLOWED_HEADERS) {
    const value = headers[name];
    if (typeof value === 'string' && !holdsSecret(value, secret)) allowed[name] = value;
  }
  return allowed;
}
