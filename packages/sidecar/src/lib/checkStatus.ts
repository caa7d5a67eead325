import type { Dispatcher } from 'undici';

const MIN_STATUS = 200;
const MAX_STATUS = 599;

/**
 * Checks that a response has a status of HTTP, since nothing else of its head is trusted otherwise.
 * @throws if it has not; the connection of the response is closed.
 * @internal
 */
export function checkStatus({
  statusCode,
  body,
}: Pick<Dispatcher.ResponseData, 'statusCode' | 'body'>): void {
  if (statusCode >= MIN_STATUS && statusCode <= MAX_STATUS) return;
  // The body is not read; its errors add nothing to the one thrown here.
  body.on('error', () => {}).destroy();
  throw new Error(`malformed response: status ${statusCode}`);
}
