import type { ClaimAnswer, WorkspaceId } from '@berylwood/schema';
import { err, ok, type Result } from 'neverthrow';
import type { Code } from '@berylwood/base';
import { ledgerCodes } from './codes';
import type { CommandOf } from './Command';

const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;
const MIB = 1024 * 1024;

/** Limits of the claim table. @public */
export interface ClaimLimits {
  /** Maximum number of claims; more are rejected. */
  readonly claims: number;
  /** Maximum total size of stored bodies, in bytes; beyond it, a response is stored without body. */
  readonly bytes: number;
  /** Maximum size of one stored response body, in bytes. */
  readonly bodyBytes: number;
  /** Time after which an unsettled claim is settled with an unknown outcome. */
  readonly runningMs: number;
  /** Time for which the outcome of a claim is retained. */
  readonly settledMs: number;
}

const DEFAULT_LIMITS: ClaimLimits = {
  claims: 50_000,
  bytes: 32 * MIB,
  bodyBytes: 64 * 1024,
  runningMs: HOUR_MS,
  settledMs: 24 * HOUR_MS,
};

type Settled = Extract<ClaimAnswer, { type: 'settled' }>;

export interface Claim {
  readonly workspace: WorkspaceId;
  readonly idempotencyKey: string;
  readonly fingerprint: string;
  readonly request: string;
  readonly attempt: string;
  readonly endpoint: string;
  /** Ledger clock when the claim was granted or, later, settled. */
  readonly at: number;
  /** Absent while the request runs. */
  readonly settled?: Settled;
}

/** Marks a stored response whose body was too large to be retained. */
const OMITTED_HEADER = { 'berylwood-stored-body': 'omitted' };

const expired: Settled = {
  type: 'settled',
  outcome: 'unknown',
  status: 504,
  headers: {},
  body: new Uint8Array(),
};

function keyOf(workspace: string, idempotencyKey: string): string {
  return `${workspace}|${idempotencyKey}`;
}

function bytesOf(claim: Claim): number {
  return claim.settled?.body.byteLength ?? 0;
}

/**
 * Claims of non-idempotent requests. Each pair of workspace and idempotency key is granted to exactly
 * one attempt; only that attempt is granted it again when it asks again. A full table rejects new
 * claims instead of dropping one before it expires. Claims are kept in order of time.
 * @internal
 */
export class Claims {
  readonly #claims = new Map<string, Claim>();

  readonly #limits: ClaimLimits;

  #bytes = 0;

  constructor(limits: Partial<ClaimLimits> = {}) {
    this.#limits = { ...DEFAULT_LIMITS, ...limits };
  }

  get size(): number {
    return this.#claims.size;
  }

  claim(command: CommandOf<'claim'>, now: number): Result<ClaimAnswer, Code> {
    this.#expire(now);
    const { workspace, idempotencyKey, fingerprint, request, attempt, endpoint } = command;
    const known = this.#claims.get(keyOf(workspace, idempotencyKey));
    if (known) return ok(this.#answer(known, command));
    if (this.#claims.size >= this.#limits.claims) return err(ledgerCodes.claimsFull);
    const claim = { workspace, idempotencyKey, fingerprint, request, attempt, endpoint, at: now };
    this.#put(claim);
    return ok({ type: 'granted' });
  }

  /** Stores the outcome of a claim. A claim that is already settled keeps its first outcome. */
  settle(command: CommandOf<'settle'>, now: number): Result<void, Code> {
    this.#expire(now);
    const { workspace, idempotencyKey, request, outcome, status, headers, body } = command;
    const claim = this.#claims.get(keyOf(workspace, idempotencyKey));
    if (claim?.request !== request) return err(ledgerCodes.claimUnknown);
    if (claim.settled) return ok(undefined);
    const { bodyBytes, bytes } = this.#limits;
    const fits = body.byteLength <= bodyBytes && this.#bytes + body.byteLength <= bytes;
    const retained = fits
      ? { headers, body: Uint8Array.from(body) }
      : { headers: { ...headers, ...OMITTED_HEADER }, body: new Uint8Array() };
    this.#put({ ...claim, at: now, settled: { type: 'settled', outcome, status, ...retained } });
    return ok(undefined);
  }

  toState(): Claim[] {
    return [...this.#claims.values()];
  }

  restore(claims: readonly Claim[]): void {
    this.#claims.clear();
    this.#bytes = 0;
    for (const claim of claims) this.#put(claim);
  }

  #answer(known: Claim, command: CommandOf<'claim'>): ClaimAnswer {
    if (known.fingerprint !== command.fingerprint) return { type: 'conflict' };
    if (known.settled) return known.settled;
    return { type: known.attempt === command.attempt ? 'granted' : 'running' };
  }

  #put(claim: Claim): void {
    const key = keyOf(claim.workspace, claim.idempotencyKey);
    this.#remove(key);
    this.#claims.set(key, claim);
    this.#bytes += bytesOf(claim);
  }

  #remove(key: string): void {
    const claim = this.#claims.get(key);
    if (!claim) return;
    this.#claims.delete(key);
    this.#bytes -= bytesOf(claim);
  }

  #expire(now: number): void {
    const { runningMs, settledMs } = this.#limits;
    for (const [key, claim] of this.#claims) {
      const age = now - claim.at;
      if (age < Math.min(runningMs, settledMs)) return;
      if (!claim.settled && age >= runningMs) this.#put({ ...claim, at: now, settled: expired });
      else if (claim.settled && age >= settledMs) this.#remove(key);
    }
  }
}
