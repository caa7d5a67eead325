import type { Journal, Metrics, Timer } from '@berylwood/base';
import { gatewayEvents } from './events';
import type { AdmissionDecision } from './FleetAdmission';
import type { PoolName } from './ids';

/** Minimum time between two lines about the fractions of a pool, in milliseconds. */
const FRACTIONS_LOG_INTERVAL_MS = 1000;

/** Minimum time between two lines about invalid messages, in milliseconds. */
const INVALID_LOG_INTERVAL_MS = 10_000;

/** Longest reason in a line, in characters. */
const MAX_REASON_LENGTH = 500;

/** Writes the log lines of admission, on the leader those with the inputs of its decisions. @internal */
export class AdmissionLog {
  readonly #journal: Journal;

  readonly #timer: Timer;

  readonly #gauge;

  /** By pool with a shortage, when it began and when its fractions were last logged. */
  readonly #shortages = new Map<PoolName, { readonly beganAt: number; loggedAt: number }>();

  #invalidLoggedAt = -Infinity;

  constructor(journal: Journal, timer: Timer, metrics: Metrics) {
    this.#journal = journal;
    this.#timer = timer;
    const help = 'Whether the leader sees a shortage of prefill capacity in a pool; 0 elsewhere';
    this.#gauge = metrics.gauge('admission_shortage', help, ['pool']);
  }

  decided(pool: PoolName, { update, ...decision }: AdmissionDecision): void {
    const now = this.#timer.now();
    const shortage = this.#shortages.get(pool);
    const fields = {
      pool,
      capacityPerS: Math.round(decision.capacityPerS),
      askedPerS: decision.askedPerS,
      admittedPerS: decision.admittedPerS,
      servedPerS: decision.servedPerS,
      queuedTokens: decision.queuedTokens,
      workspaces: decision.workspaces,
      lowestFraction: decision.lowestFraction,
    };
    if (update && !shortage) {
      this.#shortages.set(pool, { beganAt: now, loggedAt: now });
      this.#gauge.set({ pool }, 1);
      this.#journal.record(gatewayEvents.admissionShortageBegan, fields);
    } else if (!update && shortage) {
      this.#forget(pool);
      const durationMs = now - shortage.beganAt;
      this.#journal.record(gatewayEvents.admissionShortageEnded, { ...fields, durationMs });
    } else if (shortage && now - shortage.loggedAt >= FRACTIONS_LOG_INTERVAL_MS) {
      shortage.loggedAt = now;
      this.#journal.record(gatewayEvents.admissionFractions, fields);
    }
  }

  /** Forgets pools that are not in the configuration. */
  retain(pools: ReadonlySet<PoolName>): void {
    for (const pool of this.#shortages.keys()) if (!pools.has(pool)) this.#forget(pool);
  }

  /** Forgets all pools, as this instance no longer leads. */
  clear(): void {
    this.retain(new Set());
  }

  invalid(instance: string, reason: string): void {
    const now = this.#timer.now();
    if (now - this.#invalidLoggedAt < INVALID_LOG_INTERVAL_MS) return;
    this.#invalidLoggedAt = now;
    const fields = { instance, reason: reason.slice(0, MAX_REASON_LENGTH) };
    this.#journal.record(gatewayEvents.admissionInvalid, fields);
  }

  #forget(pool: PoolName): void {
    this.#shortages.delete(pool);
    this.#gauge.set({ pool }, 0);
  }
}
