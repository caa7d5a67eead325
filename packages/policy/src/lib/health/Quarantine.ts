import type { EndpointId } from '@berylwood/schema';

/** Options of a quarantine. @public */
export interface QuarantineOptions {
  /** Duration of a quarantine, in milliseconds. Default 600000. */
  readonly holdMs?: number;
  /** Time after which a suspicion expires without another crash, in milliseconds. Default 600000. */
  readonly suspectMs?: number;
  /** Maximum number of fingerprints in the table. Default 10000. */
  readonly capacity?: number;
}

/** State of a fingerprint. @public */
export type QuarantineState = 'unknown' | 'cleared' | 'suspect' | 'quarantined';

const defaults: Required<QuarantineOptions> = {
  holdMs: 600_000,
  suspectMs: 600_000,
  capacity: 10_000,
};

/** Crashes that quarantine a fingerprint, and the maximum number of endpoints that it can crash. */
const MAX_CRASHES = 2;

interface FingerprintRecord {
  quarantineState: QuarantineState;
  crashes: number;
  /** End of the suspicion or quarantine, in milliseconds. */
  until: number;
  /** Number of attempts in flight, by endpoint. */
  readonly running: Map<EndpointId, number>;
}

/**
 * Quarantines requests that crash endpoints, identified by a fingerprint of their content. Requests
 * in flight at an endpoint when it crashes become suspects. A second crash quarantines a suspect, and
 * one run to completion clears it. Until a fingerprint has run to completion, it may be in flight at
 * two endpoints at most, one fewer for each crash. It can therefore crash no more than two endpoints.
 * @public
 */
export class Quarantine {
  readonly #options: Required<QuarantineOptions>;

  readonly #records = new Map<string, FingerprintRecord>();

  constructor(options: QuarantineOptions = {}) {
    this.#options = { ...defaults, ...options };
  }

  /** Number of fingerprints in the table. */
  get size(): number {
    return this.#records.size;
  }

  stateOf(fingerprint: string, now: number): QuarantineState {
    const known = this.#records.get(fingerprint);
    if (!known) return 'unknown';
    if (
      (known.quarantineState === 'suspect' || known.quarantineState === 'quarantined') &&
      now >= known.until
    ) {
      known.quarantineState = 'unknown';
      known.crashes = 0;
    }
    return known.quarantineState;
  }

  /** Remaining time of the quarantine, in milliseconds; 0 if the fingerprint is not quarantined. */
  holdMs(fingerprint: string, now: number): number {
    if (this.stateOf(fingerprint, now) !== 'quarantined') return 0;
    return (this.#records.get(fingerprint)?.until ?? now) - now;
  }

  /** Whether an attempt may be sent to the endpoint now. */
  mayRun(fingerprint: string, endpoint: EndpointId, now: number): boolean {
    const quarantineState = this.stateOf(fingerprint, now);
    if (quarantineState === 'cleared') return true;
    if (quarantineState === 'quarantined') return false;
    const known = this.#records.get(fingerprint);
    if (!known) return this.#hasRoom(now);
    if (known.running.has(endpoint)) return true;
    return known.crashes + known.running.size < MAX_CRASHES;
  }

  /** Records that an attempt was sent to the endpoint. */
  sent(fingerprint: string, endpoint: EndpointId, now: number): void {
    const { running } = this.#recordOf(fingerprint, now);
    running.set(endpoint, (running.get(endpoint) ?? 0) + 1);
  }

  /** Records an attempt that ended without a crash; `isComplete` if it has run to completion. */
  ended(fingerprint: string, endpoint: EndpointId, isComplete: boolean): void {
    const known = this.#records.get(fingerprint);
    if (!known) return;
    Quarantine.#endAttempt(known, endpoint);
    if (isComplete && known.quarantineState !== 'quarantined') {
      known.quarantineState = 'cleared';
      known.crashes = 0;
    } else if (known.quarantineState === 'unknown' && known.running.size === 0) {
      this.#records.delete(fingerprint);
    }
  }

  /** Records a crash of the endpoint while these fingerprints were in flight there. */
  crashed(endpoint: EndpointId, fingerprints: readonly string[], now: number): void {
    for (const fingerprint of new Set(fingerprints)) {
      const known = this.#recordOf(fingerprint, now);
      known.running.delete(endpoint);
      this.#setCrashes(known, known.crashes + 1, now);
    }
  }

  /**
   * Merges crashes of the fingerprint that another process has reported.
   * @param until end of the suspicion or quarantine, on the clock of this process
   */
  mergeRemoteCrashes(fingerprint: string, crashes: number, until: number, now: number): void {
    if (until <= now) return;
    const known = this.#recordOf(fingerprint, now);
    if (crashes <= known.crashes) return;
    this.#setCrashes(known, crashes, now);
    known.until = until;
  }

  #setCrashes(known: FingerprintRecord, crashes: number, now: number): void {
    const isQuarantined = crashes >= MAX_CRASHES;
    known.crashes = crashes;
    known.quarantineState = isQuarantined ? 'quarantined' : 'suspect';
    known.until = now + (isQuarantined ? this.#options.holdMs : this.#options.suspectMs);
  }

  #recordOf(fingerprint: string, now: number): FingerprintRecord {
    const known = this.#records.get(fingerprint);
    if (known) return known;
    this.#hasRoom(now);
    const created: FingerprintRecord = {
      quarantineState: 'unknown',
      crashes: 0,
      until: 0,
      running: new Map(),
    };
    this.#records.set(fingerprint, created);
    return created;
  }

  /**
   * Whether the table has room for another fingerprint. A full table first evicts a fingerprint that
   * is not in flight and has been cleared or has expired.
   */
  #hasRoom(now: number): boolean {
    if (this.#records.size < this.#options.capacity) return true;
    for (const [fingerprint, { quarantineState, running, until }] of this.#records) {
      const isHeld = quarantineState !== 'cleared' && now < until;
      if (isHeld || running.size > 0) continue;
      this.#records.delete(fingerprint);
      return true;
    }
    return false;
  }

  static #endAttempt(known: FingerprintRecord, endpoint: EndpointId): void {
    const left = (known.running.get(endpoint) ?? 0) - 1;
    if (left > 0) known.running.set(endpoint, left);
    else known.running.delete(endpoint);
  }
}
