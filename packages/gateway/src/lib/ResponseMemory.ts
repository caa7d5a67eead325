import type { ServerResponse } from 'node:http';
import { DisposableStore } from '@berylwood/base';
import { pacedConnectionOf, queuedBytesOf } from '@berylwood/link';
import type { BodyAccount } from '@berylwood/policy';
import type { GatewayContext } from './GatewayContext';
import { memoryEvents } from './memoryEvents';
import type { ResponseRelay } from './ResponseRelay';

/**
 * Interval at which a paused response is read on, in milliseconds. Endpoints abort a response that stays
 * unread for some seconds.
 */
const READ_ON_MS = 1000;

/** Interval at which a response that waits for space in the budget checks for it, in milliseconds. */
const SPACE_CHECK_MS = 100;

/** Intervals without any byte read by the caller after which it is cut. */
const MAX_SILENT_INTERVALS = 2;

/** Bytes held that are usual while a caller reads, and don't count. */
const USUAL_BYTES = 16 * 1024;

/** How much of a response is not sent. */
interface Unsent {
  readonly writable: number;
  /** Bytes of the current write that the kernel has not taken. */
  readonly queued: number;
}

function unsentOf(response: ServerResponse): Unsent {
  const transport = pacedConnectionOf(response.req)?.transport ?? response.socket;
  return { writable: response.writableLength, queued: transport ? queuedBytesOf(transport) : 0 };
}

/**
 * Counts the bytes that are held for a caller who reads slowly. While the response is paused for the
 * caller, it is read on a little at intervals; a caller that reads nothing at all is cut.
 * @internal
 */
export class ResponseMemory implements Disposable {
  readonly #context: Pick<GatewayContext, 'bodies' | 'timer' | 'journal'>;

  readonly #relay: ResponseRelay;

  readonly #store = new DisposableStore();

  #account: BodyAccount | undefined;

  #unsent: Unsent = { writable: 0, queued: 0 };

  #watch: Disposable | undefined;

  #spaceCheck: Disposable | undefined;

  #silentIntervals = 0;

  constructor(context: Pick<GatewayContext, 'bodies' | 'timer' | 'journal'>, relay: ResponseRelay) {
    this.#context = context;
    this.#relay = relay;
  }

  /** Counts what is held now. */
  update(): void {
    const { response, isHeadSent } = this.#relay;
    const bytes = this.#countedBytes;
    const before = this.#account?.bytes ?? 0;
    if (bytes === before || this.#store.isDisposed) return;
    this.#account ??= this.#open(response);
    // Until the head is sent, the caller has nothing to read.
    if (bytes < before || !isHeadSent) this.#account.move(Math.abs(bytes - before));
    this.#account.resize(bytes);
  }

  /**
   * Makes space if the budget has none: what can be sent before the response is complete is sent. Returns false if
   * the endpoint is to be read later.
   */
  makeSpace(): boolean {
    if (this.#hasSpace) return true;
    if (!this.#relay.canPassOn) return this.#relay.isHeadSent;
    const isWritable = this.#relay.passOn();
    this.update();
    return isWritable;
  }

  /**
   * The endpoint is read on once the budget has space. The oldest response need not wait, so that some response is
   * always completed and its space becomes free.
   */
  awaitSpace(readOn: () => void): void {
    if (this.#spaceCheck || this.#store.isDisposed) return;
    this.#spaceCheck = this.#context.timer.after(SPACE_CHECK_MS, () => {
      this.#spaceCheck = undefined;
      if (this.#hasSpace) readOn();
      else this.awaitSpace(readOn);
    });
  }

  /**
   * The response is paused until the caller has read what was sent.
   * @param readOn - reads on a little.
   */
  paused(readOn: () => void): void {
    if (this.#watch || this.#store.isDisposed) return;
    this.#unsent = unsentOf(this.#relay.response);
    this.#watch = this.#context.timer.after(READ_ON_MS, () => {
      this.#watch = undefined;
      this.#silentIntervals = this.#hasProgress() ? 0 : this.#silentIntervals + 1;
      if (this.#silentIntervals < MAX_SILENT_INTERVALS) {
        this.paused(readOn);
        readOn();
      } else this.#cut();
    });
  }

  /** The caller has read all that was sent. */
  drained(): void {
    this.#watch?.[Symbol.dispose]();
    this.#watch = undefined;
    this.#silentIntervals = 0;
    this.update();
  }

  [Symbol.dispose](): void {
    this.#watch?.[Symbol.dispose]();
    this.#spaceCheck?.[Symbol.dispose]();
    this.#store[Symbol.dispose]();
  }

  get #hasSpace(): boolean {
    const { bodies } = this.#context;
    return (
      bodies.hasResponseSpace ||
      (this.#account !== undefined && bodies.isOldestResponse(this.#account))
    );
  }

  get #countedBytes(): number {
    const { heldBytes } = this.#relay;
    return heldBytes > USUAL_BYTES ? heldBytes : 0;
  }

  #open(response: ServerResponse): BodyAccount {
    const account = this.#context.bodies.open('response', () => response.destroy());
    account.onSample = () => {
      // Until the head is sent, the caller has nothing to read.
      if (this.#hasProgress() || !this.#relay.isHeadSent) account.move(response.writableLength);
      // What the caller has read since the last update no longer counts.
      if (this.#countedBytes < account.bytes) this.update();
    };
    this.#store.add(account);
    response.once('close', () => this[Symbol.dispose]());
    return account;
  }

  /** Whether the caller has read anything since the last check. */
  #hasProgress(): boolean {
    const { writable, queued } = this.#unsent;
    this.#unsent = unsentOf(this.#relay.response);
    return this.#unsent.writable < writable || this.#unsent.queued !== queued;
  }

  #cut(): void {
    const { heldBytes, response } = this.#relay;
    this.#context.journal.record(memoryEvents.readerCut, { held: heldBytes });
    response.destroy();
  }
}
