import type { Code } from '@berylwood/base';
import type { Suspicion } from '@berylwood/schema';
import { err, ok, type Result } from 'neverthrow';
import { ledgerCodes } from './codes';

const MINUTE_MS = 60_000;

/** Crashes after which a fingerprint is quarantined. @public */
export const QUARANTINE_CRASHES = 2;

/** Time for which a fingerprint stays suspected or quarantined after its last crash. @public */
export const SUSPICION_MS = 10 * MINUTE_MS;

/** Maximum number of suspected fingerprints; more are rejected until some expire. */
const CAPACITY = 10_000;

interface Suspect extends Suspicion {
  /** Ids of the counted crashes, so that several reports of one crash count once. */
  readonly witnessed: readonly string[];
}

export type SuspicionsState = readonly Suspect[];

function toSuspicion({ fingerprint, crashes, untilMs }: Suspect): Suspicion {
  return { fingerprint, crashes, untilMs };
}

/** Fingerprints of requests that ran while an endpoint crashed. @internal */
export class Suspicions {
  readonly #suspects = new Map<string, Suspect>();

  /** Counts a crash for each fingerprint. Returns the suspicions that changed. */
  suspect(fingerprints: readonly string[], crash: string, now: number): Result<Suspicion[], Code> {
    const changed = this.#expire(now);
    const added = fingerprints.filter((fingerprint) => !this.#suspects.has(fingerprint));
    if (this.#suspects.size + added.length > CAPACITY) return err(ledgerCodes.suspectsFull);
    for (const fingerprint of fingerprints) {
      const suspect = this.#count(fingerprint, crash, now);
      if (suspect) changed.push(toSuspicion(suspect));
    }
    return ok(changed);
  }

  /** Clears the suspicion of a request that ran to completion, unless it is in quarantine. */
  clear(fingerprint: string, now: number): Suspicion[] {
    const changed = this.#expire(now);
    const suspect = this.#suspects.get(fingerprint);
    if (!suspect || suspect.crashes >= QUARANTINE_CRASHES) return changed;
    this.#suspects.delete(fingerprint);
    return [...changed, { fingerprint, crashes: 0, untilMs: 0 }];
  }

  toState(): Suspect[] {
    return [...this.#suspects.values()];
  }

  restore(state: SuspicionsState): void {
    this.#suspects.clear();
    for (const suspect of state) this.#suspects.set(suspect.fingerprint, suspect);
  }

  #count(fingerprint: string, crash: string, now: number): Suspect | undefined {
    const known = this.#suspects.get(fingerprint);
    const witnessed = known?.witnessed ?? [];
    if (witnessed.includes(crash)) return undefined;
    const suspect: Suspect = {
      fingerprint,
      crashes: witnessed.length + 1,
      untilMs: now + SUSPICION_MS,
      witnessed: [...witnessed, crash],
    };
    // Reinserted at the end: the map is ordered by expiry time, as #expire() requires.
    this.#suspects.delete(fingerprint);
    this.#suspects.set(fingerprint, suspect);
    return suspect;
  }

  #expire(now: number): Suspicion[] {
    const ended: Suspicion[] = [];
    for (const { fingerprint, untilMs } of this.#suspects.values()) {
      if (untilMs > now) break;
      this.#suspects.delete(fingerprint);
      ended.push({ fingerprint, crashes: 0, untilMs: 0 });
    }
    return ended;
  }
}
