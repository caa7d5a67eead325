import type { Core } from './Core';
import { EntryKind } from './Entry';
import { consensusEvents } from './events';
import { createGroupId, type ReplicaName } from './ids';
import { encodeMembership } from './Membership';
import type { Join, JoinReply, Message } from './Message';

/** Interval of join requests from a replica without a group to its seeds. */
const JOIN_INTERVAL_MS = 500;

/** Join requests between two log lines of a replica that is not admitted. */
const REQUESTS_PER_WARNING = 10;

/** Brings a replica with an empty disk into a group, or founds one. @internal */
export class Joiner {
  readonly #core: Core;

  /** Seeds that have replied that they belong to no group. */
  readonly #seedsWithoutGroup = new Set<ReplicaName>();

  /** Seeds that have replied that they belong to a group. */
  readonly #seedsWithGroup = new Set<ReplicaName>();

  #lastJoinAt = -Infinity;

  #requests = 0;

  constructor(core: Core) {
    this.#core = core;
  }

  /** Sends join requests to the seeds at intervals until this replica is in a membership. */
  tick(): void {
    const { now, settings, store, identity, membership } = this.#core;
    if (store.state.wasMember || membership.find(identity.incarnation)) return;
    if (now - this.#lastJoinAt < JOIN_INTERVAL_MS) return;
    this.#lastJoinAt = now;
    this.#foundGroupIfNone();
    const body: Join = { type: 'join', address: settings.address };
    settings.seeds.forEach((seed) => this.#core.sendByName(seed, body));
    this.#requests += 1;
    if (this.#requests % REQUESTS_PER_WARNING === 0) this.#warnPending();
  }

  /** Replies to a joining replica whether this one belongs to a group. */
  onJoin({ from }: Message<Join>): void {
    this.#core.send(from, { type: 'joinReply', hasGroup: this.#hasGroup });
  }

  onJoinReply({ from, body }: Message<JoinReply>): void {
    const [current, former] = body.hasGroup
      ? [this.#seedsWithGroup, this.#seedsWithoutGroup]
      : [this.#seedsWithoutGroup, this.#seedsWithGroup];
    current.add(from.replica);
    former.delete(from.replica);
    this.#foundGroupIfNone();
  }

  get #hasGroup(): boolean {
    return this.#core.membership.latest.members.length > 0;
  }

  #warnPending(): void {
    const { settings } = this.#core;
    settings.journal.record(consensusEvents.joinPending, {
      requests: this.#requests,
      contacted: settings.seeds,
      withGroup: [...this.#seedsWithGroup],
      withoutGroup: [...this.#seedsWithoutGroup],
    });
  }

  #foundGroupIfNone(): void {
    const { settings, store } = this.#core;
    if (!settings.founder || this.#hasGroup || store.lastIndex > 0) return;
    if (settings.seeds.every((seed) => this.#seedsWithoutGroup.has(seed))) this.#foundGroup();
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
