import { canRetry } from './canRetry';
import type { Route } from './RoutingConfiguration';

/** The attempts of one request so far. @internal */
export class AttemptHistory {
  /** Ids of the endpoints at which the request was placed. */
  readonly triedEndpoints = new Set<string>();

  #sends = 0;

  #connectErrors = 0;

  /** Whether an endpoint may have run the request. */
  mayHaveRun = false;

  /** Number of attempts whose bytes may have reached an endpoint. */
  get sends(): number {
    return this.#sends;
  }

  sent(endpoint: string): void {
    this.triedEndpoints.add(endpoint);
    this.#sends += 1;
  }

  /** Records that the latest attempt has failed to connect. */
  unsent(): void {
    this.#connectErrors += 1;
    this.#sends -= 1;
  }

  /** Whether another attempt is allowed. `isNotRun` states whether no attempt so far has run. */
  canRetry({ kind, isResumable, maxAttempts }: Route, leftMs: number, isNotRun: boolean): boolean {
    const tries = { sends: this.#sends, connectErrors: this.#connectErrors, leftMs };
    return canRetry({ kind, isResumable, maxAttempts, isNotRun, ...tries });
  }
}
