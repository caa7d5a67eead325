/** Retries allowed for each first attempt. */
const RETRIES_PER_ATTEMPT = 0.1;

/** Retries allowed at once after a quiet time; enough for what one endpoint held. */
const MAX_BALANCE = 50;

/**
 * Keeps retries to a share of the traffic, so that they do not multiply an overload.
 * @internal
 */
export class RetryBudget {
  #balance = MAX_BALANCE;

  get balance(): number {
    return this.#balance;
  }

  /** A first attempt was dispatched. */
  deposit(): void {
    this.#balance = Math.min(MAX_BALANCE, this.#balance + RETRIES_PER_ATTEMPT);
  }

  /** Takes one retry from the budget; false when it is spent. */
  withdraw(): boolean {
    if (this.#balance < 1) return false;
    this.#balance -= 1;
    return true;
  }
}
