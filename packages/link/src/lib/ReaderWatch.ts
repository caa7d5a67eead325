import type { Socket } from 'node:net';
import type { Timer } from '@berylwood/base';
import { queuedBytesOf } from './queuedBytesOf';

/** Time in which a peer has to read something of what was written, in milliseconds; callers may stay idle as long. */
const MAX_UNREAD_MS = 15_000;

/** Notices that a peer reads nothing of what was written to it. @internal */
export class ReaderWatch implements Disposable {
  readonly #socket: Socket;

  readonly #timer: Timer;

  readonly #onUnread: () => void;

  #check: Disposable | undefined;

  constructor(socket: Socket, timer: Timer, onUnread: () => void) {
    this.#socket = socket;
    this.#timer = timer;
    this.#onUnread = onUnread;
  }

  /** Something was written. */
  written(): void {
    const socket = this.#socket;
    if (this.#check || socket.writableLength === 0) return;
    const unsentBytes = (): number => socket.writableLength + queuedBytesOf(socket);
    const before = unsentBytes();
    const { bytesWritten } = socket;
    this.#check = this.#timer.after(MAX_UNREAD_MS, () => {
      this.#check = undefined;
      const hasRead = unsentBytes() < before || socket.bytesWritten > bytesWritten;
      if (hasRead || socket.writableLength === 0) this.written();
      else this.#onUnread();
    });
  }

  [Symbol.dispose](): void {
    this.#check?.[Symbol.dispose]();
  }
}
