import { DisposableStore, type Journal, type Timer } from '@berylwood/base';
import { Transport, type Message, type ReplicaName } from '@berylwood/consensus';
import { Dialer, type Link, type LinkIdentity, type LinkServer } from '@berylwood/link';
import { z } from 'zod';

/** Options of the transport between replicas. @public */
export interface PeerTransportOptions {
  readonly timer: Timer;
  readonly journal: Journal;
  readonly identity?: LinkIdentity;
  /**
   * Returns the address of a replica, given its address in the membership, which may be empty.
   * Messages are dropped while the result is empty.
   */
  readonly resolveAddress: (replica: ReplicaName, address: string) => string;
}

const PATH = '/peer';

/** Bytes buffered for a replica that does not read; further messages are dropped. */
const MAX_BUFFERED_BYTES = 8 * 1024 * 1024;

/** Short enough that an election does not wait for a silent connection to be replaced. */
const KEEP_ALIVE_INTERVAL_MS = 300;
const SILENCE_TIMEOUT_MS = 1200;

/** A machine without power does not reply; it is dialled again, as it may be starting. */
const CONNECT_TIMEOUT_MS = 500;

/**
 * Checks only the shape of received messages; the replicated log handles stale and unexpected
 * messages of this shape.
 */
const messageSchema = z.custom<Message>((value) => {
  const { from, to, term, body } = (value ?? {}) as Partial<Message>;
  return (
    typeof from?.replica === 'string' &&
    typeof to?.replica === 'string' &&
    Number.isSafeInteger(term) &&
    typeof body?.type === 'string'
  );
}, 'expected a message between replicas');

interface Peer {
  readonly address: string;
  readonly dialer: Dialer<Message, Message>;
}

/** Carries the messages of the replicated log over persistent links. @public */
export class PeerTransport extends Transport implements Disposable {
  readonly #options: PeerTransportOptions;

  readonly #peers = new Map<ReplicaName, Peer>();

  readonly #store = new DisposableStore();

  constructor(options: PeerTransportOptions) {
    super();
    this.#options = options;
  }

  /** Accepts messages of other replicas on the server's port; call before it listens. */
  serve(server: LinkServer): void {
    server.accept<Message, Message>(PATH, this.#linkOptions, (link) => this.#receive(link));
  }

  override send(to: ReplicaName, message: Message, address: string): void {
    const resolved = this.#options.resolveAddress(to, address);
    if (resolved === '') return;
    const { link } = this.#getDialer(to, resolved);
    if (!link || link.bufferedBytes > MAX_BUFFERED_BYTES) return;
    link.send(message);
  }

  [Symbol.dispose](): void {
    this.#store[Symbol.dispose]();
  }

  get #linkOptions() {
    const { timer, journal } = this.#options;
    const timeouts = { keepAliveMs: KEEP_ALIVE_INTERVAL_MS, silenceTimeoutMs: SILENCE_TIMEOUT_MS };
    return { timer, journal, schema: messageSchema, ...timeouts };
  }

  #getDialer(to: ReplicaName, address: string): Dialer<Message, Message> {
    const existing = this.#peers.get(to);
    if (existing?.address === address) return existing.dialer;
    if (existing) this.#store.release(existing.dialer);
    const { identity } = this.#options;
    const dialer = this.#store.add(
      new Dialer<Message, Message>({
        ...this.#linkOptions,
        addresses: [address],
        path: PATH,
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
        identity,
      }),
    );
    this.#peers.set(to, { address, dialer });
    dialer.open();
    return dialer;
  }

  #receive(link: Link<Message, Message>): void {
    link.onMessage = (message) => this.onMessage(message);
  }
}
