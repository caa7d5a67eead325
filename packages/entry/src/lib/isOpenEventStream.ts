import { isEventStream } from '@berylwood/event-stream';

/** Whether events and comments of the entry can be added to a response: to a stream that states no length. @internal */
export function isOpenEventStream(
  headers: Readonly<Record<string, number | string | string[] | undefined>>,
): boolean {
  if (headers['content-length'] !== undefined) return false;
  return isEventStream(Object.entries(headers).flatMap(([name, value]) => [name, String(value)]));
}
