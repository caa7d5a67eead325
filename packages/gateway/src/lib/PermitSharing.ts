import type { Journal, Random, Timer } from '@berylwood/base';
import { PermitAllocator, type PermitDemand } from '@berylwood/policy';
import { RotatingBatch, type Mesh } from '@berylwood/registry';
import { z } from 'zod';
import type { Endpoint } from './Endpoint';
import type { EndpointDirectory } from './EndpointDirectory';
import { STATEMENT_KINDS, type StatementKind } from './EndpointStatements';
import { gatewayEvents } from './events';
import type { HeldRequests } from './HeldRequests';

/** Endpoints in one message. */
const MAX_ENDPOINTS = 256;

/** Permits of one endpoint in one message. */
const MAX_PERMITS = 10_000;

const MAX_KEY_LENGTH = 512;

/** Time for which a report or an update is used, in milliseconds: a few intervals of a large fleet. */
const VALID_MS = 1000;

/**
 * Longest delay of a message between instances, in milliseconds: a silent link is closed before. A statement
 * may be older by that than its ages say.
 */
const MAX_TRANSIT_MS = 1500;

/** Key of this instance among those that demand permits. */
const OWN = '';

const keySchema = z.string().max(MAX_KEY_LENGTH);

/** Times are sent as ages, since the clocks of instances differ. */
const ageSchema = z.number().nonnegative();

/**
 * Endpoint, kind of statement, its value (null at the end of a restriction), ages of the request and of its
 * response.
 */
const statementSchema = z.tuple([
  keySchema,
  z.enum(STATEMENT_KINDS),
  z.number().nonnegative().nullable(),
  ageSchema,
  ageSchema,
]);

type SharedStatement = z.output<typeof statementSchema>;

const statementsSchema = z.array(statementSchema).max(2 * STATEMENT_KINDS.length * MAX_ENDPOINTS);

/** Endpoint, wanted permits by rank, and expired permits that are returned. */
const demandSchema = z.tuple([
  keySchema,
  z.array(z.number().nonnegative()).max(MAX_ENDPOINTS),
  z.number().int().nonnegative().max(MAX_PERMITS),
]);

const reportSchema = z.object({
  statements: statementsSchema,
  demands: z.array(demandSchema).max(MAX_ENDPOINTS),
});

/** Endpoint and the number of permits. */
const grantSchema = z.tuple([keySchema, z.number().int().nonnegative().max(MAX_PERMITS)]);

const updateSchema = z.object({
  statements: statementsSchema,
  grants: z.array(grantSchema).max(MAX_ENDPOINTS),
});

/** What an instance reports to the leader. */
type Report = z.output<typeof reportSchema>;

/** What the leader sends to an instance. */
type Update = z.output<typeof updateSchema>;

/** State on the leader of an instance that demands permits. */
interface ReportingInstance {
  /** By endpoint, the permits wanted by rank; empty once they were considered. */
  wanted: ReadonlyMap<string, readonly number[]>;
  /** Statements of its last report. */
  readonly statements: readonly SharedStatement[];
  readonly reportedAt: number;
}

/** Parts that the sharing of permits connects. @internal */
export interface PermitSharingOptions {
  readonly directory: EndpointDirectory;
  readonly held: HeldRequests;
  readonly mesh: Pick<Mesh, 'attachments' | 'isLeader'>;
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
  readonly #options: PermitSharingOptions;

  readonly #batch = new RotatingBatch(MAX_ENDPOINTS);

  /** On the leader, by endpoint. */
  readonly #allocators = new Map<string, PermitAllocator>();

  /** On the leader, by the address of the instance. */
  readonly #instances = new Map<string, ReportingInstance>();

  /** On the leader, permits that are not sent yet, by instance and endpoint. */
  readonly #granted = new Map<string, Map<string, number>>();

  /** Endpoints whose statements other instances need in this round. */
  #shared: readonly Endpoint[] = [];

  #updatedAt = -Infinity;

  constructor(options: PermitSharingOptions) {
    this.#options = options;
    const { mesh } = options;
    mesh.attachments = {
      createReport: () => this.#createReport(),
      receiveReport: (instance, value) => this.#receiveReport(instance, value),
      createUpdate: (instance) => this.#createUpdate(instance),
      receiveUpdate: (value) => this.#receiveUpdate(value),
    };
  }

  /** Whether a leader, or this instance as the leader, allocates permits. */
  get hasLeader(): boolean {
    const { mesh, timer } = this.#options;
    return mesh.isLeader || timer.now() - this.#updatedAt < VALID_MS;
  }

  /** Starts a round of the exchange; on the leader, allocates its permits. */
  startRound(): void {
    const { mesh, timer, directory } = this.#options;
    this.#shared = directory.endpoints.filter(({ statements }) => statements.isShared);
    if (!mesh.isLeader) {
      this.#forgetInstances();
      return;
    }
    const now = timer.now();
    for (const [instance, { reportedAt }] of this.#instances) {
      if (now - reportedAt < VALID_MS) continue;
      this.#instances.delete(instance);
      this.#granted.delete(instance);
    }
    const limited = this.#shared.filter(({ statements }) => statements.isLimited);
    const keys = new Set(limited.map(({ key }) => key));
    for (const key of this.#allocators.keys()) if (!keys.has(key)) this.#allocators.delete(key);
    for (const endpoint of limited) this.#allocateFor(endpoint, now);
    for (const state of this.#instances.values()) state.wanted = new Map();
  }

  #allocateFor(endpoint: Endpoint, now: number): void {
    const { key, statements } = endpoint;
    const allocator = this.#allocators.get(key) ?? new PermitAllocator(now);
    this.#allocators.set(key, allocator);
    allocator.setRate(statements.requestsPerS, now);
    allocator.return(statements.permits.takeReturned(now), now);
    const demands: PermitDemand<string>[] = [{ source: OWN, wanted: this.#wantedOf(endpoint) }];
    for (const [source, { wanted }] of this.#instances) {
      demands.push({ source, wanted: wanted.get(key) ?? [] });
    }
    for (const [source, count] of allocator.allocate(demands, now, this.#options.random)) {
      if (source === OWN) statements.permits.grant(count, now);
      else {
        const grants = this.#granted.get(source) ?? new Map<string, number>();
        grants.set(key, (grants.get(key) ?? 0) + count);
        this.#granted.set(source, grants);
      }
    }
  }

  #forgetInstances(): void {
    this.#allocators.clear();
    this.#instances.clear();
    this.#granted.clear();
  }

  #createReport(): Report | undefined {
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
    };
  }

  #receiveReport(instance: string, value: unknown): void {
    const report = this.#parse(reportSchema, instance, value);
    if (!report) return;
    const now = this.#options.timer.now();
    this.#mergeStatements(report.statements, instance);
    for (const [key, , returned] of report.demands)
      this.#allocators.get(key)?.return(returned, now);
    this.#instances.set(instance, {
      wanted: new Map(report.demands.map(([key, wanted]) => [key, wanted])),
      statements: report.statements,
      reportedAt: now,
    });
  }

  #createUpdate(instance: string): Update | undefined {
    const { directory } = this.#options;
    // The instance may believe in a restriction that has ended long ago.
    const asked = this.#instances.get(instance)?.statements ?? [];
    if (this.#shared.length === 0 && asked.length === 0) return undefined;
    const statements = [
      ...asked.flatMap(([key, kind]) => {
        const endpoint = directory.find(key);
        return endpoint ? [this.#share(endpoint, kind)] : [];
      }),
      ...this.#batch.take(this.#shared).flatMap((endpoint) => this.#sharedOf(endpoint)),
    ];
    const grants = [...(this.#granted.get(instance) ?? [])];
    this.#granted.delete(instance);
    return {
      statements,
      grants: grants.slice(0, MAX_ENDPOINTS),
    };
  }

  #receiveUpdate(value: unknown): void {
    const { timer, directory } = this.#options;
    const update = this.#parse(updateSchema, 'leader', value);
    if (!update) return;
    const now = timer.now();
    this.#updatedAt = now;
    this.#mergeStatements(update.statements, 'leader');
    for (const [key, count] of update.grants) {
      directory.find(key)?.statements.permits.grant(count, now);
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
