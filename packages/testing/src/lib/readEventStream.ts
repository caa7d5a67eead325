/** An event as a reader of server-sent events dispatches it. @public */
export interface ReceivedEvent {
  /** Last event id at the time of the dispatch; an earlier block may have set it. */
  readonly id: string;
  /** Whether the block of the event itself has set the id. */
  readonly hasOwnId: boolean;
  readonly type: string;
  readonly data: string;
}

const DEFAULT_TYPE = 'message';

/** Splits a line at its first colon; without one, the whole line is the name of a field without a value. */
function splitField(line: string): [name: string, value: string] {
  const colon = line.indexOf(':');
  if (colon < 0) return [line, ''];
  const value = line.slice(colon + 1);
  return [line.slice(0, colon), value.startsWith(' ') ? value.slice(1) : value];
}

/**
 * Reads a stream of server-sent events as the HTML standard describes it, so that a test finds what a caller
 * finds. Shares no code with the roles under test.
 * @see https://html.spec.whatwg.org/multipage/server-sent-events.html#event-stream-interpretation
 * @param lastEventId - id that the caller has sent as `Last-Event-Id`.
 * @public
 */
export function readEventStream(bytes: Uint8Array, lastEventId = ''): ReceivedEvent[] {
  const events: ReceivedEvent[] = [];
  let id = lastEventId;
  let hasOwnId = false;
  let type = '';
  let data = '';
  // Decoding drops one byte order mark. The last part is a line without an end, which is discarded.
  const lines = new TextDecoder().decode(bytes).split(/\r\n|\n|\r/);
  for (const line of lines.slice(0, -1)) {
    if (line === '') {
      if (data !== '') {
        events.push({ id, hasOwnId, type: type || DEFAULT_TYPE, data: data.slice(0, -1) });
      }
      hasOwnId = false;
      type = '';
      data = '';
      continue;
    }
    if (line.startsWith(':')) continue;
    const [name, value] = splitField(line);
    if (name === 'event') type = value;
    else if (name === 'data') data += `${value}\n`;
    else if (name === 'id' && !value.includes('\0')) {
      id = value;
      hasOwnId = true;
    }
    // `retry` changes no event, and fields with other names are ignored.
  }
  return events;
}
