import type { Core } from './Core';
import { EntryKind } from './Entry';
import { consensusEvents } from './events';
import { createGroupId, type ReplicaName } from './ids';
import { encodeMembership } from './Membership';
import type { Contact, Join, JoinReply, Message } from './Message';

/** Interval of join requests from a replica without a group to the replicas that it knows. @internal */
export const JOIN_INTERVAL_MS = 250;

/** Join requests between two log lines of a replica that is not admitted. */
const REQUESTS_PER_WARNING = 20;

/** Brings a replica with an empty disk into a group, or founds one. @internal */
export class Joiner {
  readonly #core: Core;

  /** Latest reply of each replica that was contacted. */
  readonly #replies = new Map<ReplicaName, JoinReply>();

  #lastJoinAt = -Infinity;

  #requests = 0;

  constructor(core: Core) {
    this.#core = core;
  }

  /**
   * Sends join requests at intervals until this replica is in a membership. They go to the seeds, to the
   * replicas that the embedder knows and to the members that the replies name, because only the leader
   * admits, and no seed needs to lead or even to hold a replica.
   */
  tick(): void {
    const { now, settings, store, identity, membership } = this.#core;
    if (store.state.wasMember || membership.find(identity.incarnation)) {
      this.#replies.clear();
      return;
    }
    if (now - this.#lastJoinAt < JOIN_INTERVAL_MS) return;
    this.#lastJoinAt = now;
    this.#foundGroupIfNone();
    const body: Join = { type: 'join', address: settings.address };
    this.#contacts.forEach((contact) => this.#core.sendByName(contact, body));
    this.#requests += 1;
    if (this.#requests % REQUESTS_PER_WARNING === 0) this.#warnPending();
  }

  /** Replies to a joining replica whether this one belongs to a group, and who its members are. */
  onJoin({ from }: Message<Join>): void {
    const members = this.#core.membership.latest.members.map(({ replica, address }): Contact => ({
      replica,
      address,
    }));
    this.#core.send(from, { type: 'joinReply', hasGroup: this.#hasGroup, members });
  }

  onJoinReply({ from, body }: Message<JoinReply>): void {
    // Earlier versions reply without members.
    this.#replies.set(from.replica, { ...body, members: body.members ?? [] });
    this.#foundGroupIfNone();
  }

  get #hasGroup(): boolean {
    return this.#core.membership.latest.members.length > 0;
  }

  /** The seeds, the embedder's contacts and the members named in replies, without this replica. */
  get #contacts(): Contact[] {
    const { settings, identity } = this.#core;
    const names = [...settings.seeds, ...settings.contacts()];
    const addresses = new Map(names.map((name) => [name, '']));
    for (const { members } of this.#replies.values()) {
      for (const { replica, address } of members) addresses.set(replica, address);
    }
    addresses.delete(identity.replica);
    return [...addresses].map(([replica, address]) => ({ replica, address }));
  }

  #warnPending(): void {
    const replies = [...this.#replies];
    const repliedWith = (hasGroup: boolean): ReplicaName[] =>
      replies.filter(([, reply]) => reply.hasGroup === hasGroup).map(([replica]) => replica);
    this.#core.settings.journal.record(consensusEvents.joinPending, {
      requests: this.#requests,
      contacted: this.#contacts.map(({ replica }) => replica),
      withGroup: repliedWith(true),
      withoutGroup: repliedWith(false),
    });
  }

  #foundGroupIfNone(): void {
    const { settings, store } = this.#core;
    if (!settings.founder || this.#hasGroup || store.lastIndex > 0) return;
    const isWithoutGroup = (seed: ReplicaName): boolean =>
      this.#replies.get(seed)?.hasGroup === false;
    if (settings.seeds.every(isWithoutGroup)) this.#foundGroup();
  }

  /** Starts a log whose first entry makes this replica the only voter. */
  #foundGroup(): void {
    const core = this.#core;
    const { settings, identity } = core;
    const { replica, incarnation } = identity;
    const data = encodeMembership({
      members: [{ replica, incarnation, kind: 'voter', address: settings.address }],
      admitted: settings.seeds.map((seed) => ({ replica: seed, voter: true })),
    });
    core.saveGroup(createGroupId());
    core.saveTerm(core.term + 1, incarnation);
    core.append([{ index: 1, term: core.term, kind: EntryKind.Membership, data }]);
    settings.journal.record(consensusEvents.groupFounded, { group: core.group });
    core.sendRoleEvent({ type: 'electionTimeout' });
  }
}
