import { connect, type NetConnectOpts, type Socket } from 'node:net';
import { Random } from '@berylwood/base';
import { WebSocket, type ClientOptions } from 'ws';
import { linkEvents } from './events';
import { Link } from './Link';
import { MAX_FRAME_BYTES, type LinkIdentity, type LinkOptions } from './LinkOptions';

/** Options of a dialer. @public */
export interface DialerOptions<In> extends LinkOptions<In> {
  /** Addresses tried in turn. */
  readonly addresses: readonly string[];
  /** URL path, which identifies the kind of link. */
  readonly path: string;
  readonly identity?: LinkIdentity;
  /** Time-out for establishing a link, in milliseconds; 2000 by default. */
  readonly connectTimeoutMs?: number;
  /**
   * Time-out for the TCP handshake of a link without TLS, in milliseconds; `connectTimeoutMs` by default.
   * A packet to a machine without power is lost, and the kernel repeats it only after a second.
   */
  readonly handshakeTimeoutMs?: number;
  readonly random?: Random;
}

const DEFAULT_CONNECT_TIMEOUT_MS = 2000;
const MIN_BACKOFF_MS = 20;
const MAX_BACKOFF_MS = 1000;

/** Keeps one link open: reconnects with backoff and jitter whenever it closes. @public */
export class Dialer<Out, In> implements Disposable {
  /** Called with each new link, before any of its messages is handled. */
  onLink: (link: Link<Out, In>) => void = () => {};

  readonly #options: DialerOptions<In>;

  readonly #random: Random;

  #disposed = false;

  #backoff: Disposable | undefined;

  #addresses: readonly string[];

  #nextAddressIndex = 0;

  #backoffMs = MIN_BACKOFF_MS;

  #link: Link<Out, In> | undefined;

  #socket: WebSocket | undefined;

  constructor(options: DialerOptions<In>) {
    this.#options = options;
    this.#addresses = options.addresses;
    this.#random = options.random ?? new Random(Math.floor(Math.random() * 2 ** 31));
  }

  /** The open link, if there is one. */
  get link(): Link<Out, In> | undefined {
    return this.#link;
  }

  /** Starts connecting. */
  open(): void {
    this.#connect();
  }

  /** Drops the current link and dials this address next. */
  redirect(address: string): void {
    if (!this.#addresses.includes(address)) this.#addresses = [...this.#addresses, address];
    this.#nextAddressIndex = this.#addresses.indexOf(address);
    this.#link?.[Symbol.dispose]();
  }

  [Symbol.dispose](): void {
    this.#disposed = true;
    this.#backoff?.[Symbol.dispose]();
    this.#socket?.terminate();
    this.#link?.[Symbol.dispose]();
  }

  #connect(): void {
    if (this.#disposed) return;
    const address = this.#addresses[this.#nextAddressIndex % this.#addresses.length] ?? '';
    this.#nextAddressIndex += 1;
    const socket = this.#createSocket(address);
    if (!socket) {
      this.#reconnectLater();
      return;
    }
    this.#socket = socket;
    const reconnect = (): void => this.#scheduleReconnect(socket);
    socket.once('error', reconnect);
    socket.once('close', reconnect);
    socket.once('upgrade', ({ socket: transport }) => {
      socket.once('open', () => {
        socket.off('error', reconnect);
        socket.off('close', reconnect);
        this.#handleOpen(socket, address, transport);
      });
    });
  }

  /** Starts connecting to an address; undefined if it is no address. */
  #createSocket(address: string): WebSocket | undefined {
    const { identity, path, connectTimeoutMs = DEFAULT_CONNECT_TIMEOUT_MS } = this.#options;
    const scheme = identity ? 'wss' : 'ws';
    const options: ClientOptions = {
      handshakeTimeout: connectTimeoutMs,
      maxPayload: MAX_FRAME_BYTES,
      perMessageDeflate: false,
      ...(!identity && { createConnection: this.#connectTcp as typeof connect }),
      ...(identity && {
        cert: identity.certificate,
        key: identity.key,
        ca: identity.authority,
        // Peers are authenticated by the authority that signed their certificates, as addresses are
        // plain IP addresses. A falsy return value means no error.
        checkServerIdentity: () => false,
      }),
    };
    try {
      return new WebSocket(`${scheme}://${address}${path}`, options);
    } catch (error) {
      const fields = { address, error: String(error) };
      this.#options.journal.record(linkEvents.addressInvalid, fields);
      return undefined;
    }
  }

  readonly #connectTcp = (options: NetConnectOpts): Socket => {
    const socket = connect(options);
    const { handshakeTimeoutMs, timer } = this.#options;
    if (handshakeTimeoutMs === undefined) return socket;
    const timeout = timer.after(handshakeTimeoutMs, () => {
      socket.destroy(new Error(`no connection within ${handshakeTimeoutMs} ms`));
    });
    socket.once('connect', () => timeout[Symbol.dispose]());
    socket.once('close', () => timeout[Symbol.dispose]());
    return socket;
  };

  #handleOpen(socket: WebSocket, address: string, transport: Socket): void {
    this.#backoffMs = MIN_BACKOFF_MS;
    const link = new Link<Out, In>(socket, address, this.#options, transport);
    this.#link = link;
    this.onLink(link);
    const { onClose } = link;
    link.onClose = () => {
      this.#link = undefined;
      this.#scheduleReconnect(socket);
      onClose();
    };
  }

  #scheduleReconnect(socket: WebSocket): void {
    if (this.#socket !== socket || this.#disposed) return;
    this.#socket = undefined;
    // Ignores further errors of a failed handshake; without a listener they would be thrown.
    socket.on('error', () => {});
    this.#reconnectLater();
  }

  #reconnectLater(): void {
    const delayMs = this.#backoffMs * this.#random.between(0.5, 1.5);
    this.#backoffMs = Math.min(this.#backoffMs * 2, MAX_BACKOFF_MS);
    this.#backoff = this.#options.timer.after(delayMs, () => this.#connect());
  }
}
