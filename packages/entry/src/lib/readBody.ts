import type { IncomingMessage } from 'node:http';
import { fail, type Failure } from '@berylwood/base';
import { requestCodes } from '@berylwood/schema';
import { ok, type Result } from 'neverthrow';

/** Reads a body of at most `maxBytes` bytes. @internal */
export async function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Result<Buffer, Failure>> {
  const tooLarge = `the body is larger than ${maxBytes} bytes`;
  if (Number(request.headers['content-length'] ?? 0) > maxBytes) {
    return fail(requestCodes.requestTooLarge, tooLarge);
  }
  const chunks: Buffer[] = [];
  let length = 0;
  try {
    for await (const chunk of request) {
      length += (chunk as Buffer).length;
      if (length > maxBytes) return fail(requestCodes.requestTooLarge, tooLarge);
      chunks.push(chunk as Buffer);
    }
  } catch {
    return fail(requestCodes.requestTooSlow, 'the body ended early');
  }
  return ok(Buffer.concat(chunks));
}
