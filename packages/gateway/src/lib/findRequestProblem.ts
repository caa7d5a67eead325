import type { IncomingMessage } from 'node:http';
import { findMalformedHeader } from './findMalformedHeader';

/** Characters that Node.js reads in a request target, but does not send. */
const INVALID_IN_TARGET = /[^\x21-\xff]/;

/** Longest part of a request that is quoted in a log line, in characters. */
const MAX_QUOTED_LENGTH = 80;

/** Returns why a caller's request cannot be forwarded unchanged, or undefined. @internal */
export function findRequestProblem({ url = '/', rawHeaders }: IncomingMessage): string | undefined {
  if (INVALID_IN_TARGET.test(url)) return `path ${url.slice(0, MAX_QUOTED_LENGTH)}`;
  const header = findMalformedHeader(rawHeaders);
  return header === undefined ? undefined : `header ${header.slice(0, MAX_QUOTED_LENGTH)}`;
}
