import { recentBytesOf, type HeldBody } from './chooseBodiesToEnd';

/** What an account needs of its budget. @internal */
export interface AccountBook {
  now(): number;
  resize(account: BodyAccount, bytes: number): void;
  resizeHeap(account: BodyAccount, bytes: number): void;
  complete(account: BodyAccount): void;
  end(account: BodyAccount): void;
  release(account: BodyAccount): void;
}

/** What a process holds of a request or a response, which counts in a budget until it is disposed of. @public */
export class BodyAccount implements HeldBody, Disposable {
  readonly kind: HeldBody['kind'];

  readonly startedAt: number;

  bytes = 0;

  heapBytes = 0;

  recentBytes = 0;

  movedAt: number;

  isWaiting = false;

  readonly #book: AccountBook;

  #receivedBytes = 0;

  #bodyBytes = 0;

  /** Ends what the account counts, as the budget is spent; the account is disposed of before. */
  onEnd: () => void;

  /** Updates what the account states, before bodies are chosen to end. */
  onSample: () => void = () => {};

  /** @internal */
  constructor(book: AccountBook, kind: HeldBody['kind'], onEnd: () => void) {
    const now = book.now();
    this.#book = book;
    this.kind = kind;
    this.startedAt = now;
    this.movedAt = now;
    this.onEnd = onEnd;
  }

  /** Counts bytes that the peer has sent or read. */
  move(bytes: number): void {
    const now = this.#book.now();
    this.recentBytes = recentBytesOf(this, now) + bytes;
    this.movedAt = now;
  }

  /**
   * Sets the bytes that have arrived and were not parsed yet.
   * @param isWaiting - whether they wait for this process, and not for their sender.
   */
  receive(bytes: number, isWaiting: boolean): void {
    this.isWaiting = isWaiting;
    this.#receivedBytes = bytes;
    this.#book.resize(this, this.#receivedBytes + this.#bodyBytes);
  }

  /** Sets the bytes of the body that are held. Ends bodies, this one perhaps, if that exceeds the budget. */
  resize(bytes: number): void {
    this.#bodyBytes = bytes;
    this.#book.resize(this, this.#receivedBytes + this.#bodyBytes);
  }

  /** Sets the bytes of the heap that are taken. Ends bodies, this one perhaps, if that exceeds the budget. */
  reserve(heapBytes: number): void {
    this.#book.resizeHeap(this, heapBytes);
  }

  /** The request has arrived completely: it keeps its bytes, and no longer ends for others. */
  complete(): void {
    this.#book.complete(this);
  }

  /** Ends what the account counts as if the budget were spent. */
  end(): void {
    this.#book.end(this);
  }

  [Symbol.dispose](): void {
    this.#book.release(this);
  }
}
