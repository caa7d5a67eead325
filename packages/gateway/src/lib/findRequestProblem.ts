import type { IncomingMessage } from 'node:http';
import { findMalformedHeader } from './findMalformedHeader';
import { quoteForLog } from './quoteForLog';

/** Characters that Node.js reads in a request target, but does not send. */
const INVALID_IN_TARGET = /[^\x21-\xff]/;

/** Returns why a caller's request cannot be forwarded unchanged, or undefined. @internal */
export function findRequestProblem({ url = '/', rawHeaders }: IncomingMessage): string | undefined {
  if (INVALID_IN_TARGET.test(url)) return `path ${quoteForLog(url)}`;
  const header = findMalformedHeader(rawHeaders);
  return header === undefined ? undefined : `header ${quoteForLog(header)}`;
}
