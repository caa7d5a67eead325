import { asId, type Code } from '@berylwood/base';
import type { MeterRecord, WindowId, Work, WorkspaceId } from '@berylwood/schema';
import { err, ok, type Result } from 'neverthrow';
import { ledgerCodes } from './codes';

/** Usage of one workspace in one class on one model, within a window. @public */
export interface UsageLine {
  readonly workspace: WorkspaceId;
  readonly class: string;
  readonly model: string;
  readonly billable: boolean;
  readonly requests: number;
  readonly work: Work;
  /** Set on late usage: the frozen window that this line adjusts. */
  readonly origin?: WindowId;
}

/** A window whose usage is frozen. @public */
export interface ClosedWindow {
  readonly window: WindowId;
  readonly startsAt: number;
  readonly endsAt: number;
  readonly state: 'frozen' | 'reported';
  /** Report for the platform. Every send carries exactly this text. */
  readonly report: string;
  /** Fencing number of the leader whose report the platform accepted. */
  readonly fence?: number;
}

export interface UsageWindowsState {
  readonly windowMs?: number;
  readonly frozenUntil: number;
  readonly open: readonly [number, UsageLine[]][];
  readonly closed: readonly ClosedWindow[];
}

const DEFAULT_WINDOW_MS = 60_000;

/** Number of reported windows retained for operators. */
const MAX_REPORTED = 100;

/** Maximum number of open and closed windows. At the limit, usage goes to the latest open window. */
const MAX_WINDOWS = 1000;

type Bucket = Map<string, UsageLine>;

function lineKey(line: Omit<UsageLine, 'requests' | 'work'>): string {
  const { workspace, model, billable, origin } = line;
  return [workspace, line.class, model, billable, origin ?? ''].join('|');
}

function addWork(a: Work, b: Work): Work {
  return {
    inputTokens: a.inputTokens + b.inputTokens,
    outputTokens: a.outputTokens + b.outputTokens,
    cachedTokens: a.cachedTokens + b.cachedTokens,
  };
}

function addTo(bucket: Bucket, line: UsageLine): void {
  const key = lineKey(line);
  const known = bucket.get(key);
  const total = known && {
    ...line,
    requests: known.requests + line.requests,
    work: addWork(known.work, line.work),
  };
  bucket.set(key, total ?? line);
}

function sortedLines(bucket: Bucket): UsageLine[] {
  return [...bucket].sort(([a], [b]) => (a < b ? -1 : 1)).map(([, line]) => line);
}

/** Returns the id of the window that starts at `startsAt`. @internal */
export function windowAt(startsAt: number): WindowId {
  return asId(`window-${startsAt}`);
}

/**
 * Usage by window. Usage belongs to the window in which its attempt ended, by the ledger clock. A
 * closed window is frozen. Usage that arrives later for it goes to the earliest open window, as an
 * adjustment with the frozen window as its `origin`.
 * @internal
 */
export class UsageWindows {
  #windowMs: number | undefined;

  /** Windows that end at or before this time are closed: frozen, or without usage. */
  #frozenUntil = 0;

  /** Lines of each open window, by start time of the window. */
  readonly #open = new Map<number, Bucket>();

  #closed: ClosedWindow[] = [];

  get windowMs(): number {
    return this.#windowMs ?? DEFAULT_WINDOW_MS;
  }

  get frozenUntil(): number {
    return this.#frozenUntil;
  }

  /** Sum of the lines of all open windows. */
  get openLines(): UsageLine[] {
    const sum: Bucket = new Map();
    for (const bucket of this.#open.values())
      for (const line of sortedLines(bucket)) addTo(sum, line);
    return sortedLines(sum);
  }

  get closed(): readonly ClosedWindow[] {
    return this.#closed;
  }

  /** Sets the window length. Only the first call has an effect. */
  fixLength(windowMs: number, now: number): void {
    if (this.#windowMs !== undefined) return;
    this.#windowMs = windowMs;
    if (this.#frozenUntil === 0) this.#frozenUntil = this.#startOf(now);
  }

  /** Adds the work of an attempt that ended at `endedAt`. */
  add(record: MeterRecord, endedAt: number): void {
    const startsAt = this.#startOf(endedAt);
    const isLate = startsAt < this.#frozenUntil;
    const { workspace, model, billable, work } = record;
    const origin = isLate ? { origin: windowAt(startsAt) } : {};
    const line = { workspace, class: record.class, model, billable, requests: 1, work, ...origin };
    addTo(this.#bucket(isLate ? this.#frozenUntil : startsAt), line);
  }

  /** Freezes the windows that end at or before `endsAt`. */
  close(endsAt: number): void {
    const until = this.#startOf(endsAt);
    for (const startsAt of [...this.#open.keys()].sort((a, b) => a - b)) {
      if (startsAt + this.windowMs <= until) this.#freeze(startsAt);
    }
    this.#frozenUntil = Math.max(this.#frozenUntil, until);
  }

  report(window: WindowId, fence: number): Result<void, Code> {
    const index = this.#closed.findIndex((item) => item.window === window);
    const found = this.#closed[index];
    if (found?.state !== 'frozen') return err(ledgerCodes.windowNotFrozen);
    this.#closed[index] = { ...found, state: 'reported', fence };
    this.#pruneReported();
    return ok(undefined);
  }

  toState(): UsageWindowsState {
    return {
      windowMs: this.#windowMs,
      frozenUntil: this.#frozenUntil,
      open: [...this.#open].map(([startsAt, bucket]) => [startsAt, sortedLines(bucket)]),
      closed: this.#closed,
    };
  }

  restore(state: UsageWindowsState): void {
    this.#windowMs = state.windowMs;
    this.#frozenUntil = state.frozenUntil;
    this.#closed = [...state.closed];
    this.#open.clear();
    for (const [startsAt, lines] of state.open) {
      const bucket = this.#bucket(startsAt);
      for (const line of lines) addTo(bucket, line);
    }
  }

  #startOf(time: number): number {
    return Math.floor(time / this.windowMs) * this.windowMs;
  }

  #bucket(startsAt: number): Bucket {
    const known = this.#open.get(startsAt);
    if (known) return known;
    if (this.#open.size + this.#closed.length >= MAX_WINDOWS) {
      const latest = [...this.#open.keys()].sort((a, b) => b - a)[0];
      const bucket = latest === undefined ? undefined : this.#open.get(latest);
      if (bucket) return bucket;
    }
    const bucket: Bucket = new Map();
    this.#open.set(startsAt, bucket);
    return bucket;
  }

  #freeze(startsAt: number): void {
    const bucket = this.#open.get(startsAt) ?? new Map<string, UsageLine>();
    this.#open.delete(startsAt);
    const window = windowAt(startsAt);
    const endsAt = startsAt + this.windowMs;
    const report = JSON.stringify({ window, startsAt, endsAt, lines: sortedLines(bucket) });
    this.#closed.push({ window, startsAt, endsAt, state: 'frozen', report });
  }

  #pruneReported(): void {
    const reported = this.#closed.filter(({ state }) => state === 'reported');
    const surplus = new Set(reported.slice(0, Math.max(0, reported.length - MAX_REPORTED)));
    if (surplus.size > 0) this.#closed = this.#closed.filter((item) => !surplus.has(item));
  }
}
