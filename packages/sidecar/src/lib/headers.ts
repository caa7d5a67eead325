import { isEventStream } from '@berylwood/event-stream';

/** Headers of a response by name, as the HTTP client returns them. */
type Headers = Record<string, string | string[] | undefined>;

/** Response headers that are forwarded to the caller. */
const RESPONSE_HEADERS = new Set(['content-type', 'content-length', 'content-encoding', 'etag']);

/** Returns only the response headers that describe the content. @internal */
export function filterResponseHeaders(headers: Headers): Record<string, string> {
  const kept: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (RESPONSE_HEADERS.has(name) && typeof value === 'string') kept[name] = value;
  }
  return kept;
}

/** Returns the headers of a stream; its length is not that of the bytes that are forwarded. @internal */
export function filterStreamHeaders(headers: Headers): Record<string, string> {
  return { 'content-type': String(headers['content-type']) };
}

/** Whether the body of a response is a stream of server-sent events. @internal */
export function describesEventStream(headers: Headers): boolean {
  const entries = Object.entries(headers);
  return isEventStream(
    entries.flatMap(([name, value = []]) => [value].flat().flatMap((item) => [name, item])),
  );
}
