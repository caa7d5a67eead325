import type { Journal, Random, Timer } from '@berylwood/base';
import { RotatingBatch, type Mesh, type WorkAttachments } from '@berylwood/registry';
import type { z } from 'zod';
import type { Endpoint } from './Endpoint';
import type { EndpointDirectory } from './EndpointDirectory';
import type { EndpointStatements, StatementKind } from './EndpointStatements';
import { gatewayEvents } from './events';
import { FleetPermits, type LimitedEndpoint } from './FleetPermits';
import type { HeldRequests } from './HeldRequests';
import {
  MAX_ENDPOINTS,
  permitReportSchema,
  permitUpdateSchema,
  type PermitReport,
  type PermitUpdate,
  type SharedStatement,
} from './permitMessages';

/** Time for which an update of the leader is used, in milliseconds: a few intervals of a large fleet. */
const VALID_MS = 1000;

/**
 * Longest delay of a message between instances, in milliseconds: a silent link is closed before. A statement
 * may be older by that than its ages say.
 */
const MAX_TRANSIT_MS = 1500;

/** Endpoints that count as cold, with the remaining time. */
function coldOf(
  endpoints: readonly Endpoint[],
  remainingMsOf: (statements: EndpointStatements) => number,
): [string, number][] {
  return endpoints.flatMap(({ key, statements }): [string, number][] => {
    const remainingMs = remainingMsOf(statements);
    return remainingMs > 0 ? [[key, remainingMs]] : [];
  });
}

/** Parts that the sharing of permits connects. @internal */
export interface PermitSharingOptions {
  readonly directory: EndpointDirectory;
  readonly held: HeldRequests;
  readonly mesh: Pick<Mesh, 'isLeader'>;
  readonly timer: Timer;
  readonly journal: Journal;
  readonly random: Random;
}

/**
 * Shares what endpoints state among all instances, and divides their limits: instances report their demand to
 * the leader, and the leader allocates permits for single requests.
 * @internal
 */
export class PermitSharing {
  /** What this part attaches to the work that is exchanged with the leader. */
  readonly attachments: WorkAttachments = {
    createReport: () => this.#createReport(),
    receiveReport: (instance, value) => this.#receiveReport(instance, value),
    createUpdate: (instance) => this.#createUpdate(instance),
    receiveUpdate: (value) => this.#receiveUpdate(value),
  };

  readonly #options: PermitSharingOptions;

  readonly #batch = new RotatingBatch(MAX_ENDPOINTS);

  /** Permits of the fleet while this instance leads. */
  readonly #fleet: FleetPermits;

  /** Endpoints whose statements other instances need in this round. */
  #shared: readonly Endpoint[] = [];

  #updatedAt = -Infinity;

  constructor(options: PermitSharingOptions) {
    this.#options = options;
    this.#fleet = new FleetPermits(options.random);
  }

  /** Whether a leader, or this instance as the leader, allocates permits. */
  get hasLeader(): boolean {
    const { mesh, timer } = this.#options;
    return mesh.isLeader || timer.now() - this.#updatedAt < VALID_MS;
  }

  /** Starts a round of the exchange; on the leader, allocates its permits. */
  startRound(): void {
    const { mesh, timer, directory } = this.#options;
    for (const { statements } of directory.endpoints) {
      statements.coldness.refresh();
      statements.updateColdness();
    }
    this.#shared = directory.endpoints.filter(({ statements }) => statements.isShared);
    if (!mesh.isLeader) {
      this.#fleet.clear();
      return;
    }
    const limited = this.#shared.filter(({ statements }) => statements.isLimited);
    const now = timer.now();
    this.#fleet.allocate(
      limited.map((endpoint) => this.#limitOf(endpoint, now)),
      now,
    );
  }

  #limitOf(endpoint: Endpoint, now: number): LimitedEndpoint {
    const { key, statements } = endpoint;
    const { requestsPerS, permits } = statements;
    const onGranted = (count: number): void => statements.grant(count);
    const returned = permits.takeReturned(now);
    const isStrict = statements.isCold;
    return { key, requestsPerS, isStrict, wanted: this.#wantedOf(endpoint), returned, onGranted };
  }

  #createReport(): PermitReport | undefined {
    if (this.#shared.length === 0) return undefined;
    const now = this.#options.timer.now();
    const endpoints = this.#batch.take(this.#shared);
    const limited = endpoints.filter(({ statements }) => statements.isLimited);
    return {
      statements: endpoints.flatMap((endpoint) => this.#sharedOf(endpoint)),
      demands: limited.map((endpoint) => [
        endpoint.key,
        this.#wantedOf(endpoint),
        endpoint.statements.permits.takeReturned(now),
      ]),
      // Only what this instance has seen itself: what it has learnt would be extended with each repetition.
      cold: coldOf(endpoints, ({ coldness }) => coldness.ownRemainingMs(now)),
    };
  }

  #receiveReport(instance: string, value: unknown): void {
    const report = this.#parse(permitReportSchema, instance, value);
    if (!report) return;
    this.#mergeStatements(report.statements, instance);
    this.#learnCold(report.cold);
    this.#fleet.report(instance, report, this.#options.timer.now());
  }

  #createUpdate(instance: string): PermitUpdate | undefined {
    const { directory } = this.#options;
    // The instance may believe in a restriction that has ended long ago.
    const asked = this.#fleet.statementsOf(instance);
    if (this.#shared.length === 0 && asked.length === 0) return undefined;
    const now = this.#options.timer.now();
    const endpoints = this.#batch.take(this.#shared);
    const statements = [
      ...asked.flatMap(([key, kind]) => {
        const endpoint = directory.find(key);
        return endpoint ? [this.#share(endpoint, kind)] : [];
      }),
      ...endpoints.flatMap((endpoint) => this.#sharedOf(endpoint)),
    ];
    const cold = coldOf(endpoints, ({ coldness }) => coldness.remainingMs(now));
    return { statements, grants: this.#fleet.takeGrants(instance), cold };
  }

  #receiveUpdate(value: unknown): void {
    const { timer, directory } = this.#options;
    const update = this.#parse(permitUpdateSchema, 'leader', value);
    if (!update) return;
    const now = timer.now();
    this.#updatedAt = now;
    this.#mergeStatements(update.statements, 'leader');
    this.#learnCold(update.cold);
    for (const [key, count] of update.grants) directory.find(key)?.statements.grant(count);
  }

  #learnCold(cold: PermitReport['cold']): void {
    const { timer, directory } = this.#options;
    for (const [key, remainingMs] of cold) {
      directory.find(key)?.statements.coldness.learn(remainingMs, timer.now());
    }
  }

  #mergeStatements(shared: readonly SharedStatement[], instance: string): void {
    const { timer, directory } = this.#options;
    const now = timer.now();
    for (const [key, kind, value, sentAgoMs, receivedAgoMs] of shared) {
      const statements = directory.find(key)?.statements;
      // Each repetition of a known restriction would make it more recent by the delay of the message.
      if (value !== null && statements?.statementOf(kind).value === value) continue;
      const sentAt = now - sentAgoMs - MAX_TRANSIT_MS;
      const times = { sentAt, receivedAt: now - receivedAgoMs };
      statements?.merge(kind, { value: value ?? Infinity, ...times }, { instance });
    }
  }

  #sharedOf(endpoint: Endpoint): SharedStatement[] {
    return endpoint.statements.sharedKinds.map((kind) => this.#share(endpoint, kind));
  }

  #share({ key, statements }: Endpoint, kind: StatementKind): SharedStatement {
    const { value, sentAt, receivedAt } = statements.statementOf(kind);
    const now = this.#options.timer.now();
    return [key, kind, Number.isFinite(value) ? value : null, now - sentAt, now - receivedAt];
  }

  /** By rank, the permits that this instance wants beyond those that it holds. */
  #wantedOf({ listed, statements }: Endpoint): number[] {
    const { held, timer } = this.#options;
    let unused = statements.permits.held(timer.now());
    return held.wantedOf(listed.pool).map((wanted) => {
      const covered = Math.min(wanted, unused);
      unused -= covered;
      return wanted - covered;
    });
  }

  #parse<T>(schema: z.ZodType<T>, instance: string, value: unknown): T | undefined {
    const parsed = schema.safeParse(value);
    if (parsed.success) return parsed.data;
    const fields = { instance, reason: parsed.error.message };
    this.#options.journal.record(gatewayEvents.limitsInvalid, fields);
    return undefined;
  }
}
