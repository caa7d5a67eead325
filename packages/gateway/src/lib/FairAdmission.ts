import type { Journal, Metrics, Random, Timer } from '@berylwood/base';
import { AdmissionCredits, returnAfterMs } from '@berylwood/policy';
import type { Mesh, WorkAttachments } from '@berylwood/registry';
import type { z } from 'zod';
import { AdmissionCounts, type CountedRequest } from './AdmissionCounts';
import {
  MAX_ADMISSION_POOLS,
  admissionReportSchema,
  admissionUpdateSchema,
  type AdmissionReport,
  type AdmissionUpdate,
} from './admissionMessages';
import { AdmissionLog } from './AdmissionLog';
import { FleetAdmission, type AdmissionPool } from './FleetAdmission';
import type { PoolName } from './ids';
import type { RequestMetadata } from './Wire';

/** Time for which a decision of the leader is used, in milliseconds. */
const VALID_MS = 1000;

/** @internal */
export interface FairAdmissionOptions {
  readonly mesh: Pick<Mesh, 'isLeader'>;
  readonly timer: Timer;
  readonly journal: Journal;
  readonly metrics: Metrics;
  readonly random: Random;
  /** The pools of engines as this instance sees them. */
  readonly pools: () => readonly AdmissionPool[];
}

/** Whether a request is admitted during a shortage. @internal */
export interface AdmissionVerdict {
  readonly isAdmitted: boolean;
  /** Mean time after which the caller should return if it is rejected, in milliseconds. */
  readonly returnAfterMs: number;
}

/**
 * Divides the prefill capacity of pools among workspaces during a shortage. Each instance reports its demand to
 * the leader, which decides the fractions to admit. See docs/design/fair-admission.md.
 * @internal
 */
export class FairAdmission {
  /** What this part attaches to the work that is exchanged with the leader. */
  readonly attachments: WorkAttachments = {
    createReport: () => this.#createReport(),
    receiveReport: (instance, value) => this.#receiveReport(instance, value),
    createUpdate: () => this.#createUpdate(),
    receiveUpdate: (value) => this.#receiveUpdate(value),
  };

  readonly #options: FairAdmissionOptions;

  readonly #counts = new AdmissionCounts();

  readonly #credits: AdmissionCredits;

  /** Requests that were admitted, by their metadata. */
  readonly #admitted = new WeakSet<RequestMetadata>();

  readonly #fleet = new FleetAdmission();

  readonly #log: AdmissionLog;

  readonly #outcomes;

  readonly #returns;

  /** By pool with a shortage, what the leader has decided. */
  #shortages = new Map<PoolName, AdmissionUpdate>();

  #decidedAt = -Infinity;

  constructor(options: FairAdmissionOptions) {
    this.#options = options;
    const { metrics, random, journal, timer } = options;
    this.#credits = new AdmissionCredits(random);
    this.#log = new AdmissionLog(journal, timer, metrics);
    const outcomeHelp =
      'Requests with prompts by outcome of the admission, and those that returned';
    this.#outcomes = metrics.counter('admission_requests_total', outcomeHelp, ['outcome']);
    const returnHelp = 'Responses to callers that returned, by whether they began in time';
    this.#returns = metrics.counter('admission_returns_served_total', returnHelp, ['result']);
  }

  /** Counts a request, and decides on it during a shortage; undefined if there is none. */
  ask(request: CountedRequest): AdmissionVerdict | undefined {
    const { pool, rank, workspace, isReturning } = request;
    const now = this.#options.timer.now();
    this.#counts.asked(request, now);
    if (isReturning) this.#outcomes.inc({ outcome: 'returned' });
    const shortage = this.hasShortage(pool) ? this.#shortages.get(pool) : undefined;
    if (!shortage) return undefined;
    const [, excessMs, ranks] = shortage;
    const ofRank = ranks.find(([other]) => other === rank);
    if (!ofRank) return { isAdmitted: true, returnAfterMs: 0 };
    const [, restFirst, restReturning, named] = ofRank;
    const listed = named.find(([name]) => name === workspace);
    const [, first, returning] = listed ?? [workspace, restFirst, restReturning];
    const kind = `${isReturning ? 'return' : 'first'} ${rank} ${pool} ${workspace}`;
    const fraction = isReturning ? returning : first;
    return {
      isAdmitted: fraction >= 1 || this.#credits.admit(kind, request.tokens, fraction),
      returnAfterMs: returnAfterMs(excessMs, returning),
    };
  }

  /** Counts the decision on a request, which is identified by its metadata. */
  decided(request: CountedRequest, metadata: RequestMetadata, isAdmitted: boolean): void {
    this.#outcomes.inc({ outcome: isAdmitted ? 'admitted' : 'rejected' });
    if (!isAdmitted) return;
    this.#admitted.add(metadata);
    this.#counts.admitted(request, this.#options.timer.now());
  }

  hasAdmitted(metadata: RequestMetadata): boolean {
    return this.#admitted.has(metadata);
  }

  /** Whether the leader has stated a shortage of a pool within the last second. */
  hasShortage(pool: PoolName): boolean {
    return this.#isFresh(this.#options.timer.now()) && this.#shortages.has(pool);
  }

  /** Counts a request whose response has begun. */
  served(request: CountedRequest, isInTime: boolean): void {
    this.#counts.served(request, this.#options.timer.now());
    if (request.isReturning) this.#returns.inc({ result: isInTime ? 'in_time' : 'late' });
  }

  /** Starts a round of the exchange; on the leader, decides about all pools. */
  startRound(): void {
    const { mesh, timer, pools: currentPools } = this.#options;
    const now = timer.now();
    if (!mesh.isLeader) {
      this.#fleet.clear();
      this.#log.clear();
      if (!this.#isFresh(now)) this.#apply([], this.#decidedAt);
      return;
    }
    const pools = currentPools().slice(0, MAX_ADMISSION_POOLS);
    this.#fleet.prune(new Set(pools.map(({ name }) => name)), now);
    this.#log.retain(new Set(pools.map(({ name }) => name)));
    const updates = pools.flatMap((pool) => {
      const own = this.#counts.reportOf(pool.name, now);
      const decision = this.#fleet.decide(pool, own, this.#shortages.has(pool.name), now);
      this.#log.decided(pool.name, decision);
      return decision.update ? [decision.update] : [];
    });
    this.#apply(updates, now);
  }

  #apply(updates: readonly AdmissionUpdate[], now: number): void {
    this.#shortages = new Map(updates.map((update) => [update[0], update]));
    this.#decidedAt = now;
    if (updates.length === 0) this.#credits.clear();
  }

  #isFresh(now: number): boolean {
    return now - this.#decidedAt < VALID_MS;
  }

  #createReport(): { admission: AdmissionReport[] } | undefined {
    const reports = this.#counts.reports(this.#options.timer.now());
    return reports.length === 0 ? undefined : { admission: reports };
  }

  #receiveReport(instance: string, value: unknown): void {
    const report = this.#parse(admissionReportSchema, instance, value);
    if (report) this.#fleet.report(instance, report.admission, this.#options.timer.now());
  }

  #createUpdate(): { admission: AdmissionUpdate[] } | undefined {
    const updates = [...this.#shortages.values()];
    return updates.length === 0 ? undefined : { admission: updates };
  }

  #receiveUpdate(value: unknown): void {
    const update = this.#parse(admissionUpdateSchema, 'leader', value);
    if (update) this.#apply(update.admission, this.#options.timer.now());
  }

  #parse<T>(schema: z.ZodType<T>, instance: string, value: unknown): T | undefined {
    const parsed = schema.safeParse(value);
    if (parsed.success) return parsed.data;
    this.#log.invalid(instance, parsed.error.message);
    return undefined;
  }
}
