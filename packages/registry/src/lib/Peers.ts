import type { Journal, Timer } from '@berylwood/base';
import { Dialer, type Link } from '@berylwood/link';
import {
  acceptorMessageSchema,
  type AcceptorMessage,
  type Status,
  type DialerMessage,
} from './MeshMessage';

/**
 * Short enough to replace a silent link well within the time allowed for a configuration to arrive.
 * @internal
 */
export const KEEP_ALIVE_INTERVAL_MS = 400;

/** @internal */
export const SILENCE_TIMEOUT_MS = 1200;

/** Time-out for establishing a link to an instance that may be busy, in milliseconds. */
const CONNECT_TIMEOUT_MS = 500;

/** A machine without power does not reply; it is dialled again soon, as it may be starting. */
const HANDSHAKE_TIMEOUT_MS = 120;

/** Path of the links between instances. @internal */
export const MESH_PATH = '/mesh';

/** An instance that this one dials. @internal */
export interface Peer {
  readonly address: string;
  readonly dialer: Dialer<DialerMessage, AcceptorMessage>;
  status: Status | undefined;
}

/** The instances that this one dials, and the leader of the registry among them. @internal */
export class Peers implements Disposable {
  readonly #timer: Timer;

  readonly #journal: Journal;

  readonly #onLink: (peer: Peer, link: Link<DialerMessage, AcceptorMessage>) => void;

  readonly #peers = new Map<string, Peer>();

  constructor(
    timer: Timer,
    journal: Journal,
    onLink: (peer: Peer, link: Link<DialerMessage, AcceptorMessage>) => void,
  ) {
    this.#timer = timer;
    this.#journal = journal;
    this.#onLink = onLink;
  }

  /** The connected instance that claims leadership in the highest term. */
  get leader(): Peer | undefined {
    let leader: Peer | undefined;
    for (const peer of this.#peers.values()) {
      const isLeader = peer.dialer.link !== undefined && peer.status?.isLeader === true;
      if (isLeader && (peer.status?.term ?? 0) > (leader?.status?.term ?? -1)) leader = peer;
    }
    return leader;
  }

  isConnected(address: string): boolean {
    return this.#peers.get(address)?.dialer.link !== undefined;
  }

  /** Links to instances that store origins of streams on a disk. */
  get originHolders(): Link<DialerMessage, AcceptorMessage>[] {
    return [...this.#peers.values()].flatMap(({ dialer, status }) =>
      dialer.link && status?.holdsOrigins === true ? dialer.link : [],
    );
  }

  /** Whether all instances that this one dials are connected and have sent their status. */
  get areAllKnown(): boolean {
    return [...this.#peers.values()].every(({ dialer, status }) => dialer.link && status);
  }

  /** Newest statuses of the connected instances. */
  get statuses(): Status[] {
    return [...this.#peers.values()].flatMap(({ dialer, status }) =>
      dialer.link && status ? status : [],
    );
  }

  /** Open links. */
  get links(): Link<DialerMessage, AcceptorMessage>[] {
    return [...this.#peers.values()].flatMap(({ dialer }) => dialer.link ?? []);
  }

  /** Dials new addresses, and stops dialing those that are neither in `targets` nor connected. */
  setTargets(targets: ReadonlySet<string>): void {
    for (const address of targets) if (!this.#peers.has(address)) this.#add(address);
    for (const [address, { dialer }] of this.#peers) {
      if (targets.has(address) || dialer.link) continue;
      dialer[Symbol.dispose]();
      this.#peers.delete(address);
    }
  }

  [Symbol.dispose](): void {
    for (const { dialer } of this.#peers.values()) dialer[Symbol.dispose]();
  }

  #add(address: string): void {
    const dialer = new Dialer<DialerMessage, AcceptorMessage>({
      addresses: [address],
      path: MESH_PATH,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      handshakeTimeoutMs: HANDSHAKE_TIMEOUT_MS,
      timer: this.#timer,
      journal: this.#journal,
      schema: acceptorMessageSchema,
      keepAliveMs: KEEP_ALIVE_INTERVAL_MS,
      silenceTimeoutMs: SILENCE_TIMEOUT_MS,
    });
    const peer: Peer = { address, dialer, status: undefined };
    dialer.onLink = (link) => this.#onLink(peer, link);
    this.#peers.set(address, peer);
    dialer.open();
  }
}
