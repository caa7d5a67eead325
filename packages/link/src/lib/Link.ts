import { DisposableStore, Failure, fail, type Stamp } from '@berylwood/base';
import { Packr, Unpackr } from 'msgpackr';
import { ok, type Result } from 'neverthrow';
import type { RawData, WebSocket } from 'ws';
import { linkCodes } from './codes';
import { linkEvents } from './events';
import {
  DEFAULT_KEEP_ALIVE_INTERVAL_MS,
  DEFAULT_SILENCE_TIMEOUT_MS,
  type LinkOptions,
} from './LinkOptions';

/** Kind of an envelope; the number of the member is sent in the frame. */
enum EnvelopeKind {
  Message,
  Call,
  Reply,
  ErrorReply,
}

/** Kind, id of the call (0 for a message), and payload. */
type Envelope = [EnvelopeKind, number, unknown];

/** One frame: wall time and counter of the sender's hybrid clock, and a batch of envelopes. */
type Frame = [number, number, Envelope[]];

/** The connection under a link, which shows how much has arrived of a frame. @internal */
export interface LinkTransport {
  readonly bytesRead: number;
}

interface PendingCall {
  readonly settle: (result: Result<unknown, Failure>) => void;
  readonly timeout: Disposable;
}

/** Handles a call from the peer. @public */
export type CallHandler<In> = (message: In) => Promise<Result<unknown, Failure>>;

const DEFAULT_CALL_TIMEOUT_MS = 5000;

const packr = new Packr({ useRecords: false });
const unpackr = new Unpackr({ useRecords: false });

function toBuffer(data: RawData): Buffer {
  if (Array.isArray(data)) return Buffer.concat(data);
  return Buffer.isBuffer(data) ? data : Buffer.from(data);
}

/**
 * One open connection between two processes. Messages are delivered in order, and those sent within
 * one batch interval share a frame. A connection that receives nothing for too long is dropped.
 * @public
 */
export class Link<Out, In> implements Disposable {
  /** Called with each message from the peer. */
  onMessage: (message: In) => void = () => {};

  /** Called with each call from the peer. */
  onCall: CallHandler<In> = async () => fail(linkCodes.callFailed, 'calls are not handled here');

  /** Called once when the connection has closed, for any reason. */
  onClose: () => void = () => {};

  readonly peer: string;

  readonly #socket: WebSocket;

  readonly #options: LinkOptions<In>;

  readonly #store = new DisposableStore();

  readonly #pendingCalls = new Map<number, PendingCall>();

  #batch: Envelope[] = [];

  #nextFlush: Disposable | undefined;

  #isFlushUrgent = false;

  #nextCallId = 1;

  #lastReceived: number;

  readonly #transport: LinkTransport | undefined;

  /** Bytes that had been received at the last check for silence. */
  #bytesRead = 0;

  #lastSent: number;

  /** Time of the last frame that contained envelopes. */
  #lastFlush = -Infinity;

  #closed = false;

  constructor(
    socket: WebSocket,
    peer: string,
    options: LinkOptions<In>,
    transport?: LinkTransport,
  ) {
    this.#socket = socket;
    this.#transport = transport;
    this.peer = peer;
    this.#options = options;
    this.#lastReceived = options.timer.now();
    this.#lastSent = options.timer.now();
    socket.on('message', (data) => this.#receive(toBuffer(data)));
    socket.on('close', () => this.#close());
    socket.on('error', () => this.#close());
    const interval = options.keepAliveMs ?? DEFAULT_KEEP_ALIVE_INTERVAL_MS;
    this.#store.add(options.timer.every(interval, () => this.#keepAlive(interval)));
    options.journal.record(linkEvents.linkOpened, { peer });
  }

  get isClosed(): boolean {
    return this.#closed;
  }

  /** Bytes queued for sending that were not yet passed to the kernel. */
  get bufferedBytes(): number {
    return this.#socket.bufferedAmount;
  }

  /**
   * Sends a message; it is lost if the connection closes before it arrives. An urgent message is
   * not delayed by batching.
   */
  send(message: Out, isUrgent = false): void {
    this.#enqueue([EnvelopeKind.Message, 0, message], isUrgent);
  }

  /**
   * Sends a message and waits for the reply. Fails with `linkLost` if the link closes or no reply
   * arrives in time, and with `callFailed` if the peer's handler fails.
   */
  call<Reply>(message: Out, timeoutMs = DEFAULT_CALL_TIMEOUT_MS): Promise<Result<Reply, Failure>> {
    if (this.#closed) return Promise.resolve(fail(linkCodes.linkLost, 'the link is closed'));
    const callId = this.#nextCallId;
    this.#nextCallId += 1;
    return new Promise((resolve) => {
      const timeout = this.#options.timer.after(timeoutMs, () => {
        this.#settle(callId, fail(linkCodes.linkLost, `no reply within ${timeoutMs} ms`));
      });
      const settle = resolve as PendingCall['settle'];
      this.#pendingCalls.set(callId, { settle, timeout });
      this.#enqueue([EnvelopeKind.Call, callId, message]);
    });
  }

  /** Sends the current batch immediately. */
  flush(): void {
    this.#nextFlush?.[Symbol.dispose]();
    this.#nextFlush = undefined;
    this.#isFlushUrgent = false;
    if (this.#batch.length === 0) return;
    const envelopes = this.#batch;
    this.#batch = [];
    this.#lastFlush = this.#options.timer.now();
    this.#write(envelopes);
  }

  /** Drops the connection and the data that the kernel has not sent yet. */
  [Symbol.dispose](): void {
    this.#socket.terminate();
    this.#close();
  }

  #enqueue(envelope: Envelope, isUrgent = false): void {
    if (this.#closed) return;
    this.#batch.push(envelope);
    if (this.#isFlushUrgent || (this.#nextFlush && !isUrgent)) return;
    const delayMs = isUrgent ? 0 : this.#batchDelayMs();
    this.#nextFlush?.[Symbol.dispose]();
    if (delayMs > 0) {
      this.#nextFlush = this.#options.timer.after(delayMs, () => this.flush());
      return;
    }
    this.#isFlushUrgent = true;
    const handle = setImmediate(() => this.flush());
    this.#nextFlush = { [Symbol.dispose]: () => clearImmediate(handle) };
  }

  /** Time until the next frame may be sent; not positive for the first one after an idle period. */
  #batchDelayMs(): number {
    const { batchIntervalMs = 0, timer } = this.#options;
    return this.#lastFlush + batchIntervalMs - timer.now();
  }

  #write(envelopes: Envelope[]): void {
    if (this.#closed || this.#socket.readyState !== this.#socket.OPEN) return;
    this.#lastSent = this.#options.timer.now();
    const stamp = this.#options.journal.clock.tick();
    const frame: Frame = [stamp.wallMs, stamp.counter, envelopes];
    this.#socket.send(packr.pack(frame));
  }

  #receive(data: Buffer): void {
    if (this.#closed) return;
    this.#lastReceived = this.#options.timer.now();
    try {
      const [wallMs, counter, envelopes] = unpackr.unpack(data) as Frame;
      const stamp: Stamp = { wallMs, counter };
      this.#options.journal.clock.observe(stamp);
      for (const envelope of envelopes) this.#dispatch(envelope);
    } catch (error) {
      const fields = { peer: this.peer, error: String(error) };
      this.#options.journal.record(linkEvents.messageInvalid, fields);
      this[Symbol.dispose]();
    }
  }

  #dispatch([kind, callId, payload]: Envelope): void {
    switch (kind) {
      case EnvelopeKind.Message:
        this.onMessage(this.#options.schema.parse(payload));
        break;
      case EnvelopeKind.Call:
        this.#handleCall(callId, this.#options.schema.parse(payload));
        break;
      case EnvelopeKind.Reply:
        this.#settle(callId, ok(payload));
        break;
      default:
        this.#settle(callId, fail(linkCodes.callFailed, String(payload)));
    }
  }

  #handleCall(callId: number, message: In): void {
    this.onCall(message)
      .then((result) => {
        if (result.isOk()) this.#enqueue([EnvelopeKind.Reply, callId, result.value]);
        else this.#enqueue([EnvelopeKind.ErrorReply, callId, result.error.message]);
      })
      .catch((error: unknown) => this.#enqueue([EnvelopeKind.ErrorReply, callId, String(error)]));
  }

  #settle(callId: number, result: Result<unknown, Failure>): void {
    const call = this.#pendingCalls.get(callId);
    if (!call) return;
    this.#pendingCalls.delete(callId);
    call.timeout[Symbol.dispose]();
    call.settle(result);
  }

  #keepAlive(intervalMs: number): void {
    const now = this.#options.timer.now();
    const silenceTimeoutMs = this.#options.silenceTimeoutMs ?? DEFAULT_SILENCE_TIMEOUT_MS;
    if (!this.#hasProgressed() && now - this.#lastReceived > silenceTimeoutMs) {
      this.#options.journal.record(linkEvents.linkSilent, { peer: this.peer });
      this[Symbol.dispose]();
      return;
    }
    if (now - this.#lastSent >= intervalMs / 2) this.#write([]);
  }

  /** Whether bytes have arrived since the last call; a large frame takes many of them. */
  #hasProgressed(): boolean {
    const bytesRead = this.#transport?.bytesRead ?? 0;
    const hasProgressed = bytesRead > this.#bytesRead;
    this.#bytesRead = bytesRead;
    return hasProgressed;
  }

  #close(): void {
    if (this.#closed) return;
    this.#closed = true;
    this.#store[Symbol.dispose]();
    this.#nextFlush?.[Symbol.dispose]();
    for (const callId of [...this.#pendingCalls.keys()]) {
      this.#settle(callId, fail(linkCodes.linkLost, 'the link closed'));
    }
    this.#options.journal.record(linkEvents.linkClosed, { peer: this.peer });
    this.onClose();
  }
}
