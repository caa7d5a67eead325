import type { RawHeaders } from './Wire';

/** All values of a header; the name is in lower case. @public */
export function valuesOf(headers: RawHeaders, name: string): string[] {
  return headers.filter((_, at) => at % 2 === 1 && headers[at - 1]?.toLowerCase() === name);
}
