import { isUtf8 } from 'node:buffer';

/** What one block of a stream of server-sent events is. @internal */
export type DecodedEvent =
  | { readonly type: 'event'; readonly id: number }
  /** Only blank lines and comments, which callers ignore. */
  | { readonly type: 'empty' }
  | { readonly type: 'malformed'; readonly reason: string };

/** A comment, or a field with its name; bytes of anything else rarely have this form. */
const LINE = /^(?:[A-Za-z][\w-]*)?:/;

/** A comment or a standard field. Other fields may only stand before the id, where an endpoint may add some. */
const STANDARD_LINE = /^(?:id|data|event|retry)?:/;

const ID_LINE = /^id:/;

/** An id, with as many digits as an exact number can have. */
const ID = /^id: ?(\d{1,15})$/;

const DATA_LINE = /^data:/;

/** Control characters other than a tab and the ends of lines. */
// eslint-disable-next-line no-control-regex -- the class is what is searched for
const CONTROL_CHARACTER = /[\0-\x08\x0b\x0c\x0e-\x1f\x7f]/;

const malformed = (reason: string): DecodedEvent => ({ type: 'malformed', reason });

/**
 * Decodes one block of a stream, up to and including the blank line after it. A block of an endpoint has an id,
 * data and nothing but fields and comments in UTF-8; anything else holds bytes that are no part of the stream.
 * @internal
 */
export function decodeEvent(block: Buffer): DecodedEvent {
  if (!isUtf8(block)) return malformed('not UTF-8');
  const text = block.toString('latin1');
  if (CONTROL_CHARACTER.test(text)) return malformed('a control character');
  const lines = text.split(/\r?\n/).filter((line) => line !== '');
  if (lines.every((line) => line.startsWith(':'))) return { type: 'empty' };
  if (!lines.every((line) => LINE.test(line))) return malformed('a line without a field');
  const ids = lines.filter((line) => ID_LINE.test(line));
  if (ids.length !== 1) return malformed(`${ids.length} ids`);
  const [, id] = ID.exec(ids[0] ?? '') ?? [];
  if (id === undefined) return malformed('an id that is no number');
  const afterId = lines.slice(lines.findIndex((line) => ID_LINE.test(line)));
  if (!afterId.every((line) => STANDARD_LINE.test(line))) return malformed('an unknown field');
  if (!lines.some((line) => DATA_LINE.test(line))) return malformed('no data');
  return { type: 'event', id: Number(id) };
}
