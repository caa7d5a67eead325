/** The media type, whose only charset is UTF-8. A comma would begin another value of the header. */
const MEDIA_TYPE =
  /^\s*text\/event-stream\s*(?:;\s*charset\s*=\s*"?utf-8"?\s*|;(?!\s*charset)[^;,]*)*$/i;

const IDENTITY = /^\s*identity\s*$/i;

/**
 * Whether every reader of a response takes its body for server-sent events: each `Content-Type` names them, and
 * the body is not encoded.
 * @param headers - names and values by turns.
 * @public
 */
export function isEventStream(headers: readonly string[]): boolean {
  let hasType = false;
  for (let at = 0; at + 1 < headers.length; at += 2) {
    const name = headers[at]?.toLowerCase();
    const value = headers[at + 1] ?? '';
    if (name === 'content-encoding' && !IDENTITY.test(value)) return false;
    if (name === 'content-type') {
      if (!MEDIA_TYPE.test(value)) return false;
      hasType = true;
    }
  }
  return hasType;
}
