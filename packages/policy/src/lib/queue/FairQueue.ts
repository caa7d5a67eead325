import type { WorkspaceId } from '@berylwood/schema';
import { Heap } from './Heap';

/** An item of a fair queue. @internal */
export interface QueueItem {
  readonly workspace: WorkspaceId;
  /** Weight of the workspace. */
  readonly share: number;
  /** Expected work, in tokens. */
  readonly work: number;
  /** Time by which the item should start, in milliseconds. */
  readonly startBy: number;
  /** False once the item has left the queue, for any reason. */
  isWaiting: boolean;
}

/** The items of one workspace. */
interface Flow<T> {
  readonly workspace: WorkspaceId;
  share: number;
  /** Work served so far per unit of share. */
  virtualTime: number;
  waiting: number;
  backlog: number;
  /** Items that can still start in time, earliest deadline first. */
  readonly onTime: Heap<T>;
  /** Items that can no longer start in time, in the order in which their time passed. */
  late: T[];
  lateHead: number;
  /** All items in order of arrival, to find the youngest. */
  arrivals: T[];
}

/** Maximum lag of a workspace whose items are late, in items of mean work. */
const MAX_LAG_ITEMS = 8;

/** Size above twice the number of waiting items at which the lists of a flow are compacted. */
const COMPACT_AT = 64;

/**
 * Start-time fair queueing between workspaces, weighted by share and measured in work. Within a
 * workspace, items are served earliest deadline first. Items that can no longer start in time are
 * served after those that can. Selection scans the workspaces that have items waiting, so it is
 * linear in their number and independent of the number of items.
 * @internal
 */
export class FairQueue<T extends QueueItem> {
  readonly #flows = new Map<WorkspaceId, Flow<T>>();

  readonly #active: Flow<T>[] = [];

  /** Virtual time at which the queue last became empty. */
  #virtualTime = 0;

  #waiting = 0;

  #backlog = 0;

  /** Number of waiting items. */
  get waiting(): number {
    return this.#waiting;
  }

  /** Waiting work, in tokens. */
  get backlog(): number {
    return this.#backlog;
  }

  add(item: T): void {
    const flow = this.#flowOf(item.workspace);
    flow.share = item.share;
    if (flow.waiting === 0) {
      const earliest = this.#lowestVirtualTime() - this.#maxLag(flow, item.work);
      flow.virtualTime = Math.max(flow.virtualTime, earliest);
      this.#active.push(flow);
    }
    flow.waiting += 1;
    flow.backlog += item.work;
    flow.onTime.push(item);
    flow.arrivals.push(item);
    this.#waiting += 1;
    this.#backlog += item.work;
  }

  /** Removes an item. The caller sets its `isWaiting` to false, before or right after. */
  remove(item: T): void {
    const flow = this.#flowOf(item.workspace);
    flow.waiting -= 1;
    flow.backlog -= item.work;
    this.#waiting -= 1;
    this.#backlog -= item.work;
    if (flow.waiting > 0) this.#compact(flow);
    else this.#deactivate(flow);
  }

  /**
   * The item to serve next: one that can still start in time, unless the workspace of a late item
   * would then fall too far below its fair share.
   */
  peek(now: number): T | undefined {
    let onTime: Flow<T> | undefined;
    let late: Flow<T> | undefined;
    for (const flow of this.#active) {
      if (onTime && flow.virtualTime >= onTime.virtualTime) continue;
      if (FairQueue.#onTimeHead(flow, now)) onTime = flow;
      else if (!late || flow.virtualTime < late.virtualTime) late = flow;
    }
    const chosen = onTime && !(late && this.#exceedsMaxLag(late, onTime)) ? onTime : late;
    return chosen && (FairQueue.#onTimeHead(chosen, now) ?? FairQueue.#lateHead(chosen));
  }

  /** The item to serve next among those that can be served; the others keep their places. */
  peekWhere(now: number, canBeServed: (item: T) => boolean): T | undefined {
    const first = this.peek(now);
    if (!first || canBeServed(first)) return first;
    const heads = this.#active.flatMap((flow) => {
      // Moves the items that are late now to the late list.
      FairQueue.#onTimeHead(flow, now);
      const onTime = flow.arrivals
        .filter(({ isWaiting, startBy }) => isWaiting && startBy >= now)
        .sort((a, b) => a.startBy - b.startBy)
        .find(canBeServed);
      const late = flow.late.slice(flow.lateHead);
      const item = onTime ?? late.find((other) => other.isWaiting && canBeServed(other));
      return item ? [{ flow, item, isOnTime: onTime !== undefined }] : [];
    });
    const byShare = heads.sort((a, b) => a.flow.virtualTime - b.flow.virtualTime);
    const onTime = byShare.find(({ isOnTime }) => isOnTime);
    const late = byShare.find(({ isOnTime }) => !isOnTime);
    const isLateFirst = late && (!onTime || this.#exceedsMaxLag(late.flow, onTime.flow));
    return (isLateFirst ? late : onTime)?.item;
  }

  /** All items that can no longer start in time. */
  listLate(now: number): T[] {
    return this.#active.flatMap((flow) => {
      FairQueue.#onTimeHead(flow, now);
      return flow.late.slice(flow.lateHead).filter(({ isWaiting }) => isWaiting);
    });
  }

  /** The youngest item of the workspace with the largest backlog relative to its share. */
  nextToShed(): T | undefined {
    let largest: Flow<T> | undefined;
    for (const flow of this.#active) {
      if (!largest || flow.backlog / flow.share > largest.backlog / largest.share) largest = flow;
    }
    if (!largest) return undefined;
    while (largest.arrivals.at(-1)?.isWaiting === false) largest.arrivals.pop();
    return largest.arrivals.at(-1);
  }

  /** Charges served work to a workspace, in tokens; negative work corrects an estimate. */
  charge(workspace: WorkspaceId, share: number, work: number): void {
    const flow = this.#flowOf(workspace);
    flow.virtualTime += work / share;
  }

  /** Whether a workspace that has only late items lags too far behind another one. */
  #exceedsMaxLag(late: Flow<T>, onTime: Flow<T>): boolean {
    const meanWork = this.#backlog / this.#waiting;
    return onTime.virtualTime - late.virtualTime > this.#maxLag(late, meanWork);
  }

  /** Maximum virtual time by which a workspace may lag, for items of the given work. */
  #maxLag({ share }: Flow<T>, work: number): number {
    return (MAX_LAG_ITEMS * work) / share;
  }

  /** Lowest virtual time of the active workspaces; a workspace that becomes active starts near it. */
  #lowestVirtualTime(): number {
    let lowest = Infinity;
    for (const flow of this.#active) lowest = Math.min(lowest, flow.virtualTime);
    return lowest === Infinity ? this.#virtualTime : lowest;
  }

  #flowOf(workspace: WorkspaceId): Flow<T> {
    const known = this.#flows.get(workspace);
    if (known) return known;
    const flow: Flow<T> = {
      workspace,
      share: 1,
      virtualTime: this.#virtualTime,
      waiting: 0,
      backlog: 0,
      onTime: new Heap<T>(
        (item) => item.startBy,
        (item) => item.isWaiting,
      ),
      late: [],
      lateHead: 0,
      arrivals: [],
    };
    this.#flows.set(workspace, flow);
    return flow;
  }

  /** First item that can still start in time. Moves the items before it to the late list. */
  static #onTimeHead<T extends QueueItem>(flow: Flow<T>, now: number): T | undefined {
    for (;;) {
      const head = flow.onTime.peek();
      if (!head || head.startBy >= now) return head;
      flow.onTime.pop();
      flow.late.push(head);
    }
  }

  static #lateHead<T extends QueueItem>(flow: Flow<T>): T | undefined {
    while (flow.lateHead < flow.late.length) {
      const head = flow.late[flow.lateHead] as T;
      if (head.isWaiting) return head;
      flow.lateHead += 1;
    }
    flow.late = [];
    flow.lateHead = 0;
    return undefined;
  }

  #deactivate(flow: Flow<T>): void {
    const index = this.#active.indexOf(flow);
    const last = this.#active.pop() as Flow<T>;
    if (last !== flow) this.#active[index] = last;
    if (this.#active.length === 0) this.#virtualTime = flow.virtualTime;
    Object.assign(flow, { backlog: 0, late: [], lateHead: 0, arrivals: [] });
  }

  #compact(flow: Flow<T>): void {
    if (flow.arrivals.length < 2 * flow.waiting + COMPACT_AT) return;
    Object.assign(flow, {
      arrivals: flow.arrivals.filter((item) => item.isWaiting),
      late: flow.late.slice(flow.lateHead).filter((item) => item.isWaiting),
      lateHead: 0,
    });
    flow.onTime.compact();
  }
}
