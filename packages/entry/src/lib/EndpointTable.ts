import type { Journal, Timer } from '@berylwood/base';
import { Dialer, type Link, type LinkIdentity } from '@berylwood/link';
import type { Candidate } from '@berylwood/policy';
import {
  sidecarMessageSchema,
  type EndpointId,
  type EntryMessage,
  type IncarnationId,
  type Member,
  type SidecarMessage,
} from '@berylwood/schema';
import type { EndpointConnection } from './Exchange';

/** A link to a sidecar. @internal */
export type SidecarLink = Link<EntryMessage, SidecarMessage>;

/** Options of an endpoint table. @internal */
export interface EndpointTableOptions {
  readonly timer: Timer;
  readonly journal: Journal;
  readonly identity?: LinkIdentity;
}

interface Row {
  member: Member;
  readonly dialer: Dialer<EntryMessage, SidecarMessage>;
  /** Incarnation that the sidecar has reported over the open link. */
  incarnation: IncarnationId | undefined;
  isLeaving: boolean;
  isDown: boolean;
  /** The sidecar did not reply in time. It gets no new work until it sends a message. */
  isSuspect: boolean;
  isListed: boolean;
}

/** Time for which an unlisted endpoint without a link keeps its row, in milliseconds. */
const UNLISTED_RETENTION_MS = 10_000;

/**
 * The endpoints of an entry, each with a persistent link to its sidecar. The list can lag behind,
 * so an unlisted endpoint keeps its row while its link is open. An endpoint counts as leaving as
 * soon as either the list or its sidecar reports it.
 * @internal
 */
export class EndpointTable implements Disposable {
  onMessage: (endpoint: EndpointId, message: SidecarMessage) => void = () => {};

  /** Called when a link, a member or the state of an endpoint has changed. */
  onChange: () => void = () => {};

  /** Called when a sidecar has reported its incarnation over a new link. */
  onConnected: (connection: EndpointConnection) => void = () => {};

  onLinkLost: (endpoint: EndpointId, link: SidecarLink) => void = () => {};

  readonly #options: EndpointTableOptions;

  readonly #rows = new Map<EndpointId, Row>();

  constructor(options: EndpointTableOptions) {
    this.#options = options;
  }

  get candidates(): Candidate[] {
    return [...this.#rows.values()].map((row) => ({
      endpoint: row.member.endpoint,
      incarnation: row.incarnation ?? row.member.incarnation,
      dataCentre: row.member.dataCentre,
      kind: row.member.kind,
      targets: row.member.kind === 'engine' ? row.member.models : [row.member.service ?? ''],
      slots: row.member.slots,
      isOpen: isOpen(row),
    }));
  }

  /** Connection for a new attempt; undefined while the endpoint accepts none. */
  connectionTo(endpoint: EndpointId): EndpointConnection | undefined {
    const row = this.#rows.get(endpoint);
    const { link } = row?.dialer ?? {};
    if (!row?.incarnation || !link || !isOpen(row)) return undefined;
    return { endpoint, incarnation: row.incarnation, link };
  }

  /** Marks an endpoint whose sidecar did not reply in time. */
  suspect(endpoint: EndpointId): void {
    const row = this.#rows.get(endpoint);
    if (!row || row.isSuspect) return;
    row.isSuspect = true;
    this.onChange();
  }

  /** Applies the members that the control group reports. */
  update(members: ReadonlyMap<EndpointId, Member>): void {
    for (const [endpoint, row] of this.#rows) {
      row.isListed = members.has(endpoint);
      if (!row.isListed && !row.dialer.link) this.#removeLater(endpoint);
    }
    for (const member of members.values()) this.#addOrUpdate(member);
    this.onChange();
  }

  [Symbol.dispose](): void {
    for (const { dialer } of this.#rows.values()) dialer[Symbol.dispose]();
    this.#rows.clear();
  }

  #removeLater(endpoint: EndpointId): void {
    const row = this.#rows.get(endpoint);
    this.#options.timer.after(UNLISTED_RETENTION_MS, () => {
      if (!row || row.isListed || row.dialer.link || this.#rows.get(endpoint) !== row) return;
      row.dialer[Symbol.dispose]();
      this.#rows.delete(endpoint);
      this.onChange();
    });
  }

  #addOrUpdate(member: Member): void {
    const row = this.#rows.get(member.endpoint);
    if (row?.member.address === member.address) {
      const isNewIncarnation = row.member.incarnation !== member.incarnation;
      row.member = member;
      row.isLeaving ||= member.state === 'leaving' && !isNewIncarnation;
      return;
    }
    row?.dialer[Symbol.dispose]();
    this.#rows.set(member.endpoint, {
      member,
      dialer: this.#dial(member),
      incarnation: undefined,
      isLeaving: false,
      isDown: false,
      isSuspect: false,
      isListed: true,
    });
  }

  #dial(member: Member): Dialer<EntryMessage, SidecarMessage> {
    const { endpoint, address } = member;
    const dialer = new Dialer<EntryMessage, SidecarMessage>({
      ...this.#options,
      addresses: [address],
      path: '/entry',
      schema: sidecarMessageSchema,
    });
    dialer.onLink = (link) => {
      link.onMessage = (message) => this.#receive(endpoint, link, message);
      link.onClose = () => this.#linkClosed(endpoint, link);
    };
    dialer.open();
    return dialer;
  }

  #linkClosed(endpoint: EndpointId, link: SidecarLink): void {
    const row = this.#rows.get(endpoint);
    if (row) row.incarnation = undefined;
    this.onLinkLost(endpoint, link);
    if (row && !row.isListed) this.#removeLater(endpoint);
    this.onChange();
  }

  #receive(endpoint: EndpointId, link: SidecarLink, message: SidecarMessage): void {
    const row = this.#rows.get(endpoint);
    if (row?.dialer.link !== link) return;
    if (row.isSuspect) {
      row.isSuspect = false;
      this.onChange();
    }
    if (message.type === 'hello') this.#helloReceived(row, link, message);
    else {
      if (message.type === 'load') this.#loadReceived(row, message);
      this.onMessage(endpoint, message);
    }
  }

  #helloReceived(
    row: Row,
    link: SidecarLink,
    hello: Extract<SidecarMessage, { type: 'hello' }>,
  ): void {
    const { endpoint } = row.member;
    // Another endpoint may use the address now.
    if (hello.endpoint !== endpoint) {
      link[Symbol.dispose]();
      return;
    }
    row.incarnation = hello.incarnation;
    row.isLeaving = false;
    this.onConnected({ endpoint, incarnation: hello.incarnation, link });
    this.onChange();
  }

  #loadReceived(row: Row, { load }: Extract<SidecarMessage, { type: 'load' }>): void {
    const isDown = load.down ?? false;
    const isLeaving = load.leaving || row.isLeaving;
    if (isLeaving === row.isLeaving && isDown === row.isDown) return;
    row.isLeaving = isLeaving;
    row.isDown = isDown;
    this.onChange();
  }
}

function isOpen({ dialer, incarnation, member, isLeaving, isDown, isSuspect }: Row): boolean {
  if (!dialer.link || !incarnation || isLeaving || isDown || isSuspect) return false;
  // The listed state of an old incarnation does not apply to a new one.
  return member.state === 'live' || member.incarnation !== incarnation;
}
