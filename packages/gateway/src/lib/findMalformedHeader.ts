import type { RawHeaders } from './Wire';

/** A token of HTTP; the parser of Node.js also accepts a blank inside. */
const NAME = /^[!#$%&'*+\-.^_`|~\dA-Za-z]+$/;

/** Control characters other than a tab, and characters that are no single byte. */
const INVALID_IN_VALUE = /[^\t\x20-\x7e\x80-\xff]/;

/**
 * Returns the first header that cannot be sent on, as `name: value`, or undefined. Node.js accepts some
 * such headers when it reads them, and throws when it writes them.
 * @internal
 */
export function findMalformedHeader(headers: RawHeaders): string | undefined {
  for (let at = 0; at < headers.length; at += 2) {
    const name = headers[at] ?? '';
    const value = headers[at + 1] ?? '';
    if (!NAME.test(name) || INVALID_IN_VALUE.test(value)) return `${name}: ${value}`;
  }
  return undefined;
}
