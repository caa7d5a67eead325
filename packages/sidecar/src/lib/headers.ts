/** Response headers that are forwarded to the caller. */
const RESPONSE_HEADERS = new Set(['content-type', 'content-length', 'content-encoding', 'etag']);

/** Returns only the response headers that describe the content. @internal */
export function filterResponseHeaders(
  headers: Record<string, string | string[] | undefined>,
): Record<string, string> {
  const kept: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (RESPONSE_HEADERS.has(name) && typeof value === 'string') kept[name] = value;
  }
  return kept;
}
