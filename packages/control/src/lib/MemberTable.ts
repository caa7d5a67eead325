import { DisposableStore, type Timer } from '@berylwood/base';
import type { EndpointId, IncarnationId, Member, PlatformInstance } from '@berylwood/schema';

/** Time for which a member stays known after the connection of its sidecar is lost. */
const GRACE_MS = 5000;

interface Announcement {
  readonly member: Member;
  /** Who announced it last: the process of the sidecar, or the observer before it. */
  readonly source: string;
  removal?: Disposable;
}

/**
 * The endpoints as the leader knows them: soft state, joined from announcements of the sidecars,
 * the platform's lagging list and the group's own orders. "Leaving" from any of them wins.
 * @public
 */
export class MemberTable implements Disposable {
  /** Called with each difference. */
  onChange: (changed: Member[], removed: EndpointId[]) => void = () => {};

  readonly #timer: Timer;

  readonly #announced = new Map<EndpointId, Announcement>();

  readonly #store = new DisposableStore();

  /** States as last published after a change of the list or the orders. */
  readonly #published = new Map<EndpointId, Member['state']>();

  /** Endpoints that leave, with their instance, by the platform's list. */
  #listedLeaving = new Map<EndpointId, string>();

  /** Runs of sidecars whose endpoints the group has ordered to stop. */
  #stoppedIncarnations = new Set<IncarnationId>();

  constructor(timer: Timer) {
    this.#timer = timer;
  }

  /** Members with their joined state. */
  get members(): Member[] {
    return [...this.#announced.values()].map(({ member }) => this.#mergeState(member));
  }

  find(endpoint: EndpointId): Member | undefined {
    const announced = this.#announced.get(endpoint);
    return announced && this.#mergeState(announced.member);
  }

  /** Process over whose connection the member was announced last. */
  sourceOf(endpoint: EndpointId): string | undefined {
    return this.#announced.get(endpoint)?.source;
  }

  /** Takes an announcement of a sidecar. */
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
   * Takes the loss of a connection. A leaving member goes at once; another stays for a time, as its
   * sidecar may have lost only this connection and refuses work by itself when it is not fresh.
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

  /** Takes the platform's list. */
  setPlatformList(instances: readonly PlatformInstance[]): void {
    const leaving = instances.filter(({ state }) => state === 'leaving');
    this.#listedLeaving = new Map(leaving.map(({ endpoint, instance }) => [endpoint, instance]));
    this.#publishStates();
  }

  /** Takes the runs that the group's own orders stop. */
  setStoppedIncarnations(incarnations: readonly IncarnationId[]): void {
    this.#stoppedIncarnations = new Set(incarnations);
    this.#publishStates();
  }

  /** Forgets everything, when this replica ceases to lead. */
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
