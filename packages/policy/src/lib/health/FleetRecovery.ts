import type { Random } from '@berylwood/base';
import { RecoveryWindow, type RecoveryCounts } from './RecoveryWindow';

/** What an instance states about an endpoint that recovers. @public */
export interface RecoveryReport extends RecoveryCounts {
  /** Requests of the instance that are in flight to the endpoint. */
  readonly inFlight: number;
  /** Requests that the instance would have sent beyond its allotment since its last report. */
  readonly wanted: number;
}

/**
 * Time for which an allotment that is not used is kept, in milliseconds: until the instance has received it,
 * used it and reported that.
 */
const KEEP_MS = 400;

/** Time after which an instance that no longer reports loses its allotment, in milliseconds. */
const SILENT_MS = 1500;

interface Member {
  report: RecoveryReport;
  reportedAt: number;
  allotment: number;
  raisedAt: number;
}

/**
 * The recovery of one endpoint over all instances: the window by the reports of all, divided into allotments for
 * single requests. Equal shares of a window of 4 among 70 instances would be none or 70 requests. So allotments go
 * to instances that ask for them, and move on if they are not used.
 * @public
 */
export class FleetRecovery {
  readonly window: RecoveryWindow;

  readonly #members = new Map<string, Member>();

  constructor(now: number) {
    this.window = new RecoveryWindow(now);
  }

  /** Records a report, whose counts are those since the instance noticed the recovery. */
  report(instance: string, report: RecoveryReport, now: number): void {
    const known = this.#members.get(instance);
    this.window.observe(increase(known?.report, report), now);
    const kept = known ?? { allotment: 0, raisedAt: now };
    this.#members.set(instance, { ...kept, report, reportedAt: now });
  }

  /** Requests that an instance may have in flight. */
  allotmentOf(instance: string): number {
    return this.#members.get(instance)?.allotment ?? 0;
  }

  /** Divides the window anew. */
  divide(slots: number, now: number, random: Random): void {
    let left = this.window.size;
    for (const [instance, member] of this.#members) {
      if (now - member.reportedAt >= SILENT_MS) this.#members.delete(instance);
    }
    const members = shuffle([...this.#members.values()], random);
    for (const member of members) {
      const { report, raisedAt } = member;
      if (now - raisedAt >= KEEP_MS) {
        member.allotment = Math.min(member.allotment, report.inFlight + Math.ceil(report.wanted));
      }
      member.allotment = Math.min(member.allotment, left);
      left -= member.allotment;
    }
    this.#handOut(members, left, now);
    const asked = members.reduce((sum, { report }) => sum + report.inFlight + report.wanted, 0);
    this.window.update(asked, slots, now);
  }

  /** Gives what is left to instances that ask for it, one request at a time. */
  #handOut(members: readonly Member[], available: number, now: number): void {
    let left = available;
    let asking = members;
    while (left > 0 && asking.length > 0) {
      asking = asking.filter(
        ({ allotment, report }) => allotment < report.inFlight + Math.ceil(report.wanted),
      );
      for (const member of asking.slice(0, left)) {
        member.allotment += 1;
        member.raisedAt = now;
        left -= 1;
      }
    }
  }
}

/** What has been counted since an earlier report; all of it if the instance has started to count anew. */
function increase(before: RecoveryCounts | undefined, after: RecoveryCounts): RecoveryCounts {
  const isAnew =
    before === undefined ||
    after.inTime < before.inTime ||
    after.late < before.late ||
    after.failed < before.failed;
  if (isAnew) return after;
  return {
    inTime: after.inTime - before.inTime,
    late: after.late - before.late,
    failed: after.failed - before.failed,
  };
}

function shuffle<T>(items: readonly T[], random: Random): T[] {
  return items
    .map((item) => ({ item, order: random.next() }))
    .sort((a, b) => a.order - b.order)
    .map(({ item }) => item);
}
