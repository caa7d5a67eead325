import type { IncomingMessage, ServerResponse } from 'node:http';
import { ChunkBuffer, DisposableStore } from '@berylwood/base';
import { pacedConnectionOf } from './paceConnections';

/** A complete body, or why there is none. @public */
export type ReadBody = Buffer | 'tooLarge' | 'overBudget' | 'gone';

/** Counts one body in the memory of a process until it is disposed of. @public */
export interface BodyCounter extends Disposable {
  /** Counts bytes that have arrived. */
  move(bytes: number): void;
  /** Sets the number of bytes held. */
  resize(bytes: number): void;
  /** Records that the body has arrived completely. */
  complete(): void;
}

/** Limits of bodies. @public */
export interface BodyLimits {
  readonly maxBytes: number;
  /** Budget in which the body counts until the response has ended, unless its connection already counts it. */
  readonly bodies: { open(kind: 'request', onEnd: () => void): BodyCounter };
}

/**
 * Reads a complete request body. Reports `tooLarge` as soon as its declared length or its bytes exceed the
 * limit, `overBudget` if it ends because the budget is spent, and `gone` if the caller closes its connection
 * before the end. After that, and after disposal, nothing more is kept.
 * @public
 */
export function readBody(
  request: IncomingMessage,
  response: ServerResponse,
  { maxBytes, bodies }: BodyLimits,
  onEnd: (body: ReadBody) => void,
): Disposable {
  const buffer = new ChunkBuffer();
  const store = new DisposableStore();
  const end = (result: ReadBody): void => {
    if (store.isDisposed) return;
    store[Symbol.dispose]();
    onEnd(result);
  };
  if (Number(request.headers['content-length'] ?? 0) > maxBytes) {
    end('tooLarge');
    return store;
  }
  const counted = pacedConnectionOf(request)?.account;
  if (counted) counted.onEnd = () => end('overBudget');
  const account = counted ?? bodies.open('request', () => end('overBudget'));
  if (store.isDisposed) return store;
  let isComplete = false;
  const onData = (chunk: Buffer): void => {
    if (buffer.length + chunk.length > maxBytes) {
      end('tooLarge');
      return;
    }
    buffer.push(chunk);
    account.move(chunk.length);
    account.resize(buffer.heldBytes);
  };
  store.defer(() => {
    request.off('data', onData);
    buffer.clear();
    if (!isComplete) account[Symbol.dispose]();
  });
  response.once('close', () => account[Symbol.dispose]());
  request.on('data', onData);
  request.on('end', () => {
    if (store.isDisposed) return;
    isComplete = true;
    account.complete();
    end(buffer.take());
  });
  request.on('close', () => end('gone'));
  request.on('error', () => end('gone'));
  return store;
}
