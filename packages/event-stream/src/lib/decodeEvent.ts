import { isUtf8 } from 'node:buffer';

/** What one block of a stream of server-sent events is. @internal */
export type DecodedEvent =
  /** An event that a reader dispatches; `id` is undefined if the block has none. */
  | { readonly type: 'event'; readonly id: number | undefined }
  /** A block without data, for which a reader dispatches nothing. */
  | { readonly type: 'empty' }
  | { readonly type: 'malformed'; readonly reason: string };

/** Ends of lines that a reader knows. */
const LINE_END = /\r\n|\n|\r/;

/** A comment, a field with its name, or a standard field without a value; foreign bytes rarely have this form. */
const LINE = /^(?:(?:[A-Za-z][\w-]*)?:|(?:id|data|event|retry)$)/;

/** A comment or a standard field. Other fields may only stand before the id, where an endpoint may add some. */
const STANDARD_LINE = /^(?:(?:id|data|event|retry)?:|(?:id|data|event|retry)$)/;

const ID_LINE = /^id(?::|$)/;

/** An id in its only decimal form, with as many digits as an exact number can have. */
const ID = /^id: ?(0|[1-9]\d{0,15})$/;

const DATA_LINE = /^data(?::|$)/;

/** Control characters that text does not hold; it may hold bell to carriage return, and escape. */
// eslint-disable-next-line no-control-regex -- the class is what is searched for
const CONTROL_CHARACTER = /[\0-\x06\x0e-\x1a\x1c-\x1f\x7f]/;

const malformed = (reason: string): DecodedEvent => ({ type: 'malformed', reason });

/**
 * Decodes one block of a stream, up to and including the blank line after it, as a reader of the published
 * specification does. A block of an endpoint has nothing but fields and comments in UTF-8, and one id at the
 * most; anything else holds bytes that are no part of the stream.
 * @internal
 */
export function decodeEvent(block: Buffer): DecodedEvent {
  if (!isUtf8(block)) return malformed('not UTF-8');
  const text = block.toString('latin1');
  if (CONTROL_CHARACTER.test(text)) return malformed('a control character');
  const lines = text.split(LINE_END).filter((line) => line !== '');
  if (!lines.every((line) => LINE.test(line))) return malformed('a line without a field');
  const ids = lines.filter((line) => ID_LINE.test(line));
  if (ids.length > 1) return malformed(`${ids.length} ids`);
  const [, id] = ID.exec(ids[0] ?? '') ?? [];
  const isNumber = id !== undefined && Number.isSafeInteger(Number(id));
  if (ids.length > 0 && !isNumber) return malformed('an id that is no number');
  const afterId = lines.slice(
    Math.max(
      0,
      lines.findIndex((line) => ID_LINE.test(line)),
    ),
  );
  if (!afterId.every((line) => STANDARD_LINE.test(line))) return malformed('an unknown field');
  const hasData = lines.some((line) => DATA_LINE.test(line));
  // An event whose data has become another field would be lost unnoticed.
  if (!hasData) return id === undefined ? { type: 'empty' } : malformed('no data');
  return { type: 'event', id: id === undefined ? undefined : Number(id) };
}
