import { BodyAccount, type AccountBook } from './BodyAccount';
import { chooseBodiesToEnd, SMALL_BODY_BYTES, type HeldBody } from './chooseBodiesToEnd';

/** Part of the budget that large bodies leave to small ones. */
const RESERVE_SHARE = 1 / 8;

/** Part of the budget beyond it that only responses may take, so that requests don't hold up ready responses. */
const RESPONSE_SHARE = 1 / 4;

/** Part of the budget beyond it at which no further request is taken, as its response would find no space. */
const ADMISSION_SHARE = 1 / 2;

/** Part of the budget that is freed beyond the excess, so that not each further chunk ends a body. */
const SLACK_SHARE = 1 / 16;

/** @public */
export interface BodyBudgetOptions {
  /** Bytes of all bodies that the process holds. */
  readonly maxBytes: number;
  /** Bytes of the heap that all requests may take; no limit by default. */
  readonly maxHeapBytes?: number;
  /** Requests that have not arrived completely. */
  readonly maxUnfinished: number;
  readonly now: () => number;
  /** Called for each body that ends because the budget is spent. */
  readonly onEnded: (body: HeldBody) => void;
}

/**
 * Budget of what a process holds for callers: bytes of requests and responses beside the heap, the heap that
 * requests take, and requests that have not arrived completely.
 * @public
 */
export class BodyBudget implements AccountBook {
  readonly #options: BodyBudgetOptions;

  /** Accounts that count. */
  readonly #accounts = new Set<BodyAccount>();

  /** Accounts that may end for others: unfinished requests, and responses. */
  readonly #open = new Set<BodyAccount>();

  #bytes = 0;

  #heapBytes = 0;

  #unfinished = 0;

  constructor(options: BodyBudgetOptions) {
    this.#options = options;
  }

  /** @internal */
  now(): number {
    return this.#options.now();
  }

  /** Bytes held. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Bytes of the heap that requests take. */
  get heapBytes(): number {
    return this.#heapBytes;
  }

  /** Requests that have not arrived completely. */
  get unfinished(): number {
    return this.#unfinished;
  }

  /** Whether responses may grow; otherwise they are passed on early or read later. */
  get hasResponseSpace(): boolean {
    return this.#bytes <= this.#options.maxBytes * (1 + RESPONSE_SHARE);
  }

  /** Whether the response of another request would find space, once responses that nobody reads have ended. */
  admitsRequest(): boolean {
    const excess = this.#bytes - this.#options.maxBytes * (1 + ADMISSION_SHARE);
    if (excess <= 0) return true;
    this.#end({ bytes: excess, heapBytes: 0, requests: 0, includesSmall: false });
    return this.#bytes <= this.#options.maxBytes * (1 + ADMISSION_SHARE);
  }

  /** Whether a response was opened before all others, so that it may grow in any case. */
  isOldestResponse(account: BodyAccount): boolean {
    for (const other of this.#open) if (other.kind === 'response') return other === account;
    return false;
  }

  /**
   * Counts another body.
   * @param onEnd - ends the body, as the budget is spent; the account is disposed of before.
   */
  open(kind: HeldBody['kind'], onEnd: () => void): BodyAccount {
    const { maxUnfinished } = this.#options;
    const account = new BodyAccount(this, kind, onEnd);
    this.#accounts.add(account);
    this.#open.add(account);
    if (kind === 'response') return account;
    this.#unfinished += 1;
    const requests = this.#unfinished - maxUnfinished;
    if (requests > 0) {
      this.#end({
        bytes: 0,
        heapBytes: 0,
        requests: requests + maxUnfinished * SLACK_SHARE,
        includesSmall: true,
      });
    }
    return account;
  }

  /** @internal */
  resize(account: BodyAccount, bytes: number): void {
    if (!this.#accounts.has(account)) return;
    const isGrowth = bytes > account.bytes;
    this.#bytes += bytes - account.bytes;
    account.bytes = bytes;
    if (!isGrowth) return;
    const { maxBytes } = this.#options;
    const isLarge = bytes > SMALL_BODY_BYTES;
    const isResponse = account.kind === 'response';
    const limit = isLarge && !isResponse ? maxBytes * (1 - RESERVE_SHARE) : maxBytes;
    const excess = this.#bytes - limit;
    if (excess <= 0) return;
    this.#end({
      bytes: excess + maxBytes * SLACK_SHARE,
      heapBytes: 0,
      requests: 0,
      includesSmall: !isLarge,
    });
    // Bodies that can't end fill the budget. A response that has run is held up and not ended.
    if (!isResponse && this.#bytes > limit && this.#open.has(account)) this.end(account);
  }

  /** @internal */
  resizeHeap(account: BodyAccount, bytes: number): void {
    if (!this.#accounts.has(account)) return;
    const isGrowth = bytes > account.heapBytes;
    this.#heapBytes += bytes - account.heapBytes;
    account.heapBytes = bytes;
    const { maxHeapBytes = Infinity } = this.#options;
    const excess = this.#heapBytes - maxHeapBytes;
    if (!isGrowth || excess <= 0) return;
    const heapBytes = excess + maxHeapBytes * SLACK_SHARE;
    this.#end({ bytes: 0, heapBytes, requests: 0, includesSmall: true });
    if (this.#heapBytes > maxHeapBytes && this.#open.has(account)) this.end(account);
  }

  /** @internal */
  end(account: BodyAccount): void {
    if (!this.#accounts.has(account)) return;
    this.release(account);
    this.#options.onEnded(account);
    account.onEnd();
  }

  /** @internal */
  complete(account: BodyAccount): void {
    if (this.#open.delete(account) && account.kind === 'request') this.#unfinished -= 1;
  }

  /** @internal */
  release(account: BodyAccount): void {
    if (!this.#accounts.delete(account)) return;
    this.complete(account);
    this.#bytes -= account.bytes;
    this.#heapBytes -= account.heapBytes;
  }

  #end(excess: Parameters<typeof chooseBodiesToEnd>[1]): void {
    for (const account of this.#open) account.onSample();
    const chosen = chooseBodiesToEnd(this.#open, excess, this.#options.now());
    for (const account of chosen) this.end(account);
  }
}
