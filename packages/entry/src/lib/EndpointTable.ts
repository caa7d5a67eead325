import type { Journal, Timer } from '@berylwood/base';
import { Dialer, type Link, type LinkIdentity } from '@berylwood/link';
import type { Candidate } from '@berylwood/policy';
import {
  sidecarMessageSchema,
  type EndpointId,
  type EntryMessage,
  type Member,
  type SidecarMessage,
} from '@berylwood/schema';

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
  isLeaving: boolean;
}

/** The endpoints an entry knows, each with a kept link to its sidecar. @internal */
export class EndpointTable implements Disposable {
  onMessage: (endpoint: EndpointId, link: SidecarLink, message: SidecarMessage) => void = () => {};

  /** Called when a link has opened or closed, or a member has changed. */
  onChange: () => void = () => {};

  onLink: (endpoint: EndpointId, link: SidecarLink) => void = () => {};

  onLinkLost: (endpoint: EndpointId, link: SidecarLink) => void = () => {};

  readonly #options: EndpointTableOptions;

  readonly #rows = new Map<EndpointId, Row>();

  constructor(options: EndpointTableOptions) {
    this.#options = options;
  }

  get candidates(): Candidate[] {
    return [...this.#rows.values()].map(({ member, dialer, isLeaving }) => ({
      endpoint: member.endpoint,
      incarnation: member.incarnation,
      dataCentre: member.dataCentre,
      kind: member.kind,
      targets: member.kind === 'engine' ? member.models : [member.service ?? ''],
      slots: member.slots,
      isOpen: dialer.link !== undefined && member.state === 'live' && !isLeaving,
    }));
  }

  linkTo(endpoint: EndpointId): SidecarLink | undefined {
    return this.#rows.get(endpoint)?.dialer.link;
  }

  memberOf(endpoint: EndpointId): Member | undefined {
    return this.#rows.get(endpoint)?.member;
  }

  /** Takes in the members as the control group knows them. */
  update(members: ReadonlyMap<EndpointId, Member>): void {
    for (const endpoint of this.#rows.keys()) {
      if (!members.has(endpoint)) this.#remove(endpoint);
    }
    for (const member of members.values()) this.#set(member);
    this.onChange();
  }

  [Symbol.dispose](): void {
    for (const { dialer } of this.#rows.values()) dialer[Symbol.dispose]();
    this.#rows.clear();
  }

  #remove(endpoint: EndpointId): void {
    this.#rows.get(endpoint)?.dialer[Symbol.dispose]();
    this.#rows.delete(endpoint);
  }

  #set(member: Member): void {
    const row = this.#rows.get(member.endpoint);
    if (row?.member.incarnation === member.incarnation) {
      row.member = member;
      return;
    }
    if (row) this.#remove(member.endpoint);
    this.#rows.set(member.endpoint, { member, dialer: this.#dial(member), isLeaving: false });
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
      link.onClose = () => {
        this.onLinkLost(endpoint, link);
        this.onChange();
      };
      this.onLink(endpoint, link);
      this.onChange();
    };
    dialer.open();
    return dialer;
  }

  #receive(endpoint: EndpointId, link: SidecarLink, message: SidecarMessage): void {
    const row = this.#rows.get(endpoint);
    if (row && message.type === 'load' && message.load.leaving !== row.isLeaving) {
      row.isLeaving = message.load.leaving;
      this.onChange();
    }
    this.onMessage(endpoint, link, message);
  }
}
