import { valuesOf } from './valuesOf';
import type { RawHeaders } from './Wire';

/** The media type, whose only charset is UTF-8. A comma would begin another value of the header. */
const MEDIA_TYPE =
  /^\s*text\/event-stream\s*(?:;\s*charset\s*=\s*"?utf-8"?\s*|;(?!\s*charset)[^;,]*)*$/i;

/** Whether every reader of a response takes its body for server-sent events. @internal */
export function isEventStream(headers: RawHeaders): boolean {
  const types = valuesOf(headers, 'content-type');
  return types.length > 0 && types.every((type) => MEDIA_TYPE.test(type));
}
