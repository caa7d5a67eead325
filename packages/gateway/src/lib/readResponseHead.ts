import type { IncomingMessage } from 'node:http';
import { isEventStream } from '@berylwood/event-stream';
import { err, ok, type Result } from 'neverthrow';
import { bodilessStatuses } from './bodilessStatuses';
import { findResponseProblem } from './findResponseProblem';
import type { AttemptId } from './ids';

import type { ResponseMetadata, Wire } from './Wire';

const MIN_SUCCESS_STATUS = 200;
const MAX_SUCCESS_STATUS = 299;

/** Status and headers of a response. @internal */
export interface ResponseHead {
  readonly status: number;
  readonly rawHeaders: readonly string[];
  readonly metadata: ResponseMetadata;
  /** Whether the body is one that a caller reads as server-sent events. */
  readonly isEventStream: boolean;
  readonly hasBody: boolean;
  /** Bytes of the body by Content-Length; undefined if it is framed by chunks or ends with the connection. */
  readonly contentLength: number | undefined;
  /** Whether only the end of the connection ends the body, so that nothing shows whether it is complete. */
  readonly endsWithConnection: boolean;
}

/** The request to which a response belongs. */
interface AnsweredRequest {
  readonly method: string;
  readonly attempt: AttemptId | undefined;
}

/**
 * Reads the head of an endpoint's response. Returns the reason if it is no response of the endpoint to the
 * request; nothing in such a head may be believed.
 * @internal
 */
export function readResponseHead(
  wire: Wire,
  { method, attempt }: AnsweredRequest,
  { statusCode: status = 0, rawHeaders, headers }: IncomingMessage,
): Result<ResponseHead, string> {
  const isSuccess = status >= MIN_SUCCESS_STATUS && status <= MAX_SUCCESS_STATUS;
  if (isSuccess && 'content-encoding' in headers) return err('malformed response: an encoded body');
  const isChunked = 'transfer-encoding' in headers;
  const statedLength = headers['content-length'];
  const contentLength = statedLength === undefined || isChunked ? undefined : Number(statedLength);
  const statesBody = isChunked || (contentLength ?? 0) > 0;
  const problem = findResponseProblem({ status, rawHeaders, statesBody });
  if (problem !== undefined) return err(`malformed response: ${problem}`);
  const metadata = wire.readResponse(status, rawHeaders);
  if (metadata.attempt !== undefined && metadata.attempt !== attempt) {
    return err('response belongs to another request');
  }
  if (!metadata.isAuthentic) return err('malformed response: no signature');
  const hasBody = method !== 'HEAD' && !bodilessStatuses.has(status);
  const endsWithConnection = !isChunked && contentLength === undefined && hasBody;
  const body = { isEventStream: isEventStream(rawHeaders), hasBody, contentLength };
  return ok({ status, rawHeaders, metadata, ...body, endsWithConnection });
}
