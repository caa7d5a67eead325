/** Counts what a process holds of one request until it is disposed of. @public */
export interface InputAccount extends Disposable {
  /** Called if the request ends because a budget is spent; closes the connection unless a reader sets it. */
  onEnd: () => void;
  /** Counts bytes that the parser has been given. */
  move(bytes: number): void;
  /**
   * Sets the bytes that were received and not parsed.
   * @param isWaiting - whether they wait for this process, and not for their sender.
   */
  receive(bytes: number, isWaiting: boolean): void;
  /** Sets the bytes of the heap that the request takes. */
  reserve(heapBytes: number): void;
  /** Sets the bytes of the body that are held. */
  resize(bytes: number): void;
  /** Records that the request has arrived completely. */
  complete(): void;
  /** Ends the request as if the budget were spent. */
  end(): void;
}

/** Budget of what a process holds of requests. @public */
export interface InputBudget {
  /** Counts another request. @param onEnd - ends the request, as the budget is spent. */
  open(onEnd: () => void): InputAccount;
}
