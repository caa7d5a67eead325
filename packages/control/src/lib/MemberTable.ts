import { DisposableStore, type Timer } from '@berylwood/base';
import type { EndpointId, IncarnationId, Member, PlatformInstance } from '@berylwood/schema';

/** Time for which a member is kept after the connection of its sidecar is lost. */
const GRACE_MS = 5000;

interface Announcement {
  readonly member: Member;
  /** Process that announced the member last: its sidecar, or the observer in front of the sidecar. */
  readonly source: string;
  removal?: Disposable;
}

/**
 * The endpoints known to the leader. This is soft state, merged from the announcements of the
 * sidecars, the platform's list, which may lag behind, and the group's own stop orders. A member is
 * `leaving` if any of these sources marks it as leaving.
 * @public
 */
export class MemberTable implements Disposable {
  /** Called with the changed and removed members after each change. */
  onChange: (changed: Member[], removed: EndpointId[]) => void = () => {};

  readonly #timer: Timer;

  readonly #announced = new Map<EndpointId, Announcement>();

  readonly #store = new DisposableStore();

  /** State of each member as last published. */
  readonly #published = new Map<EndpointId, Member['state']>();

  /** Endpoints that are leaving according to the platform's list, with their instance. */
  #listedLeaving = new Map<EndpointId, string>();

  /** Incarnations of sidecars whose endpoints the group has ordered to stop. */
  #stoppedIncarnations = new Set<IncarnationId>();

  constructor(timer: Timer) {
    this.#timer = timer;
  }

  /** Members with their merged state. */
  get members(): Member[] {
    return [...this.#announced.values()].map(({ member }) => this.#mergeState(member));
  }

  find(endpoint: EndpointId): Member | undefined {
    const announced = this.#announced.get(endpoint);
    return announced && this.#mergeState(announced.member);
  }

  /** Process that announced the member last. */
  sourceOf(endpoint: EndpointId): string | undefined {
    return this.#announced.get(endpoint)?.source;
  }

  /** Adds or updates a member from a sidecar's announcement. */
  announce(member: Member, source: string): void {
    const known = this.#announced.get(member.endpoint);
    if (known?.removal) this.#store.release(known.removal);
    this.#announced.set(member.endpoint, { member, source });
    const before = known && this.#mergeState(known.member);
    const after = this.#mergeState(member);
    this.#published.set(member.endpoint, after.state);
    if (JSON.stringify(before) !== JSON.stringify(after)) this.onChange([after], []);
  }

  /**
   * Handles the loss of a connection. A leaving member is removed at once. Any other member is kept
   * for a grace period: its sidecar may have lost only this connection, and rejects work by itself
   * when its state is not fresh.
   */
  withdraw(endpoint: EndpointId, source: string): void {
    const known = this.#announced.get(endpoint);
    if (!known || known.source !== source || known.removal) return;
    if (this.#mergeState(known.member).state === 'leaving') this.#remove(endpoint);
    else {
      const removal = this.#timer.after(GRACE_MS, () => this.#remove(endpoint));
      known.removal = this.#store.add(removal);
    }
  }

  /** Applies the platform's list. */
  setPlatformList(instances: readonly PlatformInstance[]): void {
    const leaving = instances.filter(({ state }) => state === 'leaving');
    this.#listedLeaving = new Map(leaving.map(({ endpoint, instance }) => [endpoint, instance]));
    this.#publishStates();
  }

  /** Sets the incarnations that the group's own orders stop. */
  setStoppedIncarnations(incarnations: readonly IncarnationId[]): void {
    this.#stoppedIncarnations = new Set(incarnations);
    this.#publishStates();
  }

  /** Discards all members when this replica stops leading. */
  clear(): void {
    this.#store.clear();
    this.#announced.clear();
    this.#listedLeaving.clear();
    this.#stoppedIncarnations.clear();
    this.#published.clear();
  }

  [Symbol.dispose](): void {
    this.#store[Symbol.dispose]();
  }

  #publishStates(): void {
    const changed = this.members.filter(({ endpoint, state }) => {
      const before = this.#published.get(endpoint) ?? this.#announced.get(endpoint)?.member.state;
      this.#published.set(endpoint, state);
      return before !== state;
    });
    if (changed.length > 0) this.onChange(changed, []);
  }

  #mergeState(member: Member): Member {
    const isLeaving =
      this.#listedLeaving.get(member.endpoint) === member.instance ||
      this.#stoppedIncarnations.has(member.incarnation);
    return isLeaving ? { ...member, state: 'leaving' } : member;
  }

  #remove(endpoint: EndpointId): void {
    this.#published.delete(endpoint);
    if (this.#announced.delete(endpoint)) this.onChange([], [endpoint]);
  }
}
