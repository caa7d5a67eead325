import type { IncomingMessage } from 'node:http';

/** A complete body, or why there is none. @internal */
export type ReadBody = Buffer | 'tooLarge' | 'gone';

/**
 * Reads a complete request body. Reports `tooLarge` as soon as the limit is exceeded, and `gone` if
 * the caller closes its connection before the end.
 * @internal
 */
export function readBody(
  request: IncomingMessage,
  maxBytes: number,
  onEnd: (body: ReadBody) => void,
): void {
  const chunks: Buffer[] = [];
  let bytes = 0;
  let isOver = false;
  const end = (result: ReadBody): void => {
    if (isOver) return;
    isOver = true;
    onEnd(result);
  };
  request.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
    if (bytes > maxBytes) end('tooLarge');
    else if (!isOver) chunks.push(chunk);
  });
  request.on('end', () => end(chunks.length === 1 ? (chunks[0] as Buffer) : Buffer.concat(chunks)));
  request.on('close', () => end('gone'));
  request.on('error', () => end('gone'));
}
