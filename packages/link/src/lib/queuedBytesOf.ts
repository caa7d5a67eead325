import type { Duplex } from 'node:stream';

/** Bytes of the current write to a socket that the kernel has not taken. @public */
export function queuedBytesOf(socket: Duplex): number {
  // No public property shows the progress of one large write.
  const handle: unknown = Reflect.get(socket, '_handle');
  const queued: unknown = handle && Reflect.get(handle, 'writeQueueSize');
  return typeof queued === 'number' ? queued : 0;
}
