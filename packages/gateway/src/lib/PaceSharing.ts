import type { Journal, Random, Timer } from '@berylwood/base';
import { FleetRecovery } from '@berylwood/policy';
import { RotatingBatch, type Mesh, type WorkAttachments } from '@berylwood/registry';
import type { z } from 'zod';
import type { Endpoint } from './Endpoint';
import type { EndpointDirectory } from './EndpointDirectory';
import { gatewayEvents } from './events';
import {
  MAX_RECOVERIES,
  paceReportSchema,
  paceUpdateSchema,
  type PaceReport,
  type PaceUpdate,
} from './paceMessages';

/** Time for which the leader remembers the end of a recovery, in milliseconds: all instances have learnt it by then. */
const ENDED_MS = 3000;

/** Difference by which a recovery must have begun after the end of the one before, in milliseconds. */
const MARGIN_MS = 200;

/** Name of this instance among those that report. */
const OWN = '';

/** @internal */
export interface PaceSharingOptions {
  readonly directory: EndpointDirectory;
  readonly mesh: Pick<Mesh, 'isLeader'>;
  readonly timer: Timer;
  readonly journal: Journal;
  readonly random: Random;
}

interface SharedRecovery {
  readonly fleet: FleetRecovery;
  endedAt: number;
}

/**
 * Shares the recovery of endpoints among all instances: they report first events to the leader, which sends them
 * the window and their part of it. An instance that learns of a recovery tries an endpoint that it has ejected.
 * @internal
 */
export class PaceSharing {
  readonly attachments: WorkAttachments = {
    createReport: () => this.#createReport(),
    receiveReport: (instance, value) => this.#receiveReport(instance, value),
    createUpdate: (instance) => this.#createUpdate(instance),
    receiveUpdate: (value) => this.#receiveUpdate(value),
  };

  readonly #options: PaceSharingOptions;

  /** By endpoint, the recoveries that this instance leads. */
  readonly #recoveries = new Map<string, SharedRecovery>();

  readonly #batch = new RotatingBatch(MAX_RECOVERIES);

  constructor(options: PaceSharingOptions) {
    this.#options = options;
  }

  /** Starts a round of the exchange; on the leader, divides the windows. */
  startRound(): void {
    const { mesh, timer, random, directory } = this.#options;
    if (!mesh.isLeader) {
      this.#recoveries.clear();
      return;
    }
    const now = timer.now();
    for (const [key, ageMs, ...counts] of this.#ownReports()) this.#record(OWN, key, ageMs, counts);
    for (const [key, shared] of this.#recoveries) {
      const endpoint = directory.find(key);
      if (!endpoint || now - shared.endedAt >= ENDED_MS) this.#recoveries.delete(key);
      else if (shared.endedAt > now) {
        shared.fleet.divide(endpoint.slots, now, random);
        if (shared.fleet.window.end !== undefined) shared.endedAt = now;
      }
      if (endpoint) this.#apply(endpoint, this.#updateOf(OWN, key, shared));
    }
  }

  /** Ends a round of the exchange. */
  endRound(): void {
    for (const { pace } of this.#options.directory.endpoints) pace.endRound();
  }

  #ownReports(): PaceReport['pace'] {
    const { endpoints } = this.#options.directory;
    return endpoints.flatMap(({ key, pace }): PaceReport['pace'] => {
      const { report, ageMs } = pace;
      if (!report) return [];
      const { inTime, late, failed, inFlight, wanted } = report;
      return [[key, ageMs, inTime, late, failed, inFlight, wanted]];
    });
  }

  #createReport(): PaceReport | undefined {
    const pace = this.#batch.take(this.#ownReports());
    return pace.length === 0 ? undefined : { pace };
  }

  #receiveReport(instance: string, value: unknown): void {
    const report = this.#parse(paceReportSchema, instance, value);
    for (const [key, ageMs, ...counts] of report?.pace ?? []) {
      if (this.#options.directory.find(key)) this.#record(instance, key, ageMs, counts);
    }
  }

  #record(
    instance: string,
    key: string,
    ageMs: number,
    [inTime, late, failed, inFlight, wanted]: [number, number, number, number, number],
  ): void {
    const now = this.#options.timer.now();
    const known = this.#recoveries.get(key);
    const isOver = known !== undefined && known.endedAt <= now;
    // A report about a recovery that has ended is answered with its end.
    if (isOver && now - ageMs < known.endedAt + MARGIN_MS) return;
    const shared = isOver || !known ? { fleet: new FleetRecovery(now), endedAt: Infinity } : known;
    this.#recoveries.set(key, shared);
    shared.fleet.report(instance, { inTime, late, failed, inFlight, wanted }, now);
  }

  #createUpdate(instance: string): PaceUpdate | undefined {
    const updates = [...this.#recoveries].map(([key, shared]) =>
      this.#updateOf(instance, key, shared),
    );
    return updates.length === 0 ? undefined : { pace: this.#batch.take(updates) };
  }

  #updateOf(
    instance: string,
    key: string,
    { fleet, endedAt }: SharedRecovery,
  ): PaceUpdate['pace'][number] {
    const { size, hasAnswered, end } = fleet.window;
    const endedAgoMs = Math.max(0, this.#options.timer.now() - endedAt);
    return [key, size, fleet.allotmentOf(instance), hasAnswered, end ?? null, endedAgoMs];
  }

  #receiveUpdate(value: unknown): void {
    const { directory, mesh } = this.#options;
    const update = this.#parse(paceUpdateSchema, 'leader', value);
    if (!update || mesh.isLeader) return;
    for (const item of update.pace) {
      const endpoint = directory.find(item[0]);
      if (endpoint) this.#apply(endpoint, item);
    }
  }

  #apply(
    endpoint: Endpoint,
    [, window, allotment, hasAnswered, end, endedAgoMs]: PaceUpdate['pace'][number],
  ): void {
    const { pace } = endpoint;
    if (end !== null) {
      // A recovery that began after the end is another one.
      if (pace.ageMs > endedAgoMs) pace.end(end, window);
      return;
    }
    if (hasAnswered) endpoint.othersAnswered();
    pace.allot(allotment);
  }

  #parse<T>(schema: z.ZodType<T>, instance: string, value: unknown): T | undefined {
    const parsed = schema.safeParse(value);
    if (parsed.success) return parsed.data;
    const fields = { instance, reason: parsed.error.message };
    this.#options.journal.record(gatewayEvents.paceInvalid, fields);
    return undefined;
  }
}
