/** Maximum nesting depth of objects and arrays in a request. */
const MAX_DEPTH = 64;

const QUOTE = '"'.charCodeAt(0);
const BACKSLASH = '\\'.charCodeAt(0);
const OPENING = new Set([...'[{'].map((sign) => sign.charCodeAt(0)));
const CLOSING = new Set([...']}'].map((sign) => sign.charCodeAt(0)));

/** Whether a JSON text is nested beyond the limit, checked without parsing it. @internal */
export function isTooDeep(json: Buffer): boolean {
  let depth = 0;
  let isInString = false;
  for (let at = 0; at < json.length; at += 1) {
    const byte = json[at] as number;
    if (isInString && byte === BACKSLASH) at += 1;
    else if (byte === QUOTE) isInString = !isInString;
    else if (!isInString && OPENING.has(byte)) depth += 1;
    else if (!isInString && CLOSING.has(byte)) depth -= 1;
    if (depth > MAX_DEPTH) return true;
  }
  return false;
}
