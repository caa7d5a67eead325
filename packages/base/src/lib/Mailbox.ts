/** A bounded queue of messages with one consumer. @public */
export class Mailbox<Message> {
  #messages: Message[] = [];

  #wake: (() => void) | undefined;

  #closed = false;

  readonly #capacity: number;

  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  get length(): number {
    return this.#messages.length;
  }

  get isClosed(): boolean {
    return this.#closed;
  }

  /** Appends a message. Returns false and drops the message if the mailbox is full or closed. */
  post(message: Message): boolean {
    if (this.#closed || this.#messages.length >= this.#capacity) return false;
    this.#messages.push(message);
    this.#wake?.();
    return true;
  }

  /** Rejects further messages and ends the consumer's loop once the queue is empty. */
  close(): void {
    this.#closed = true;
    this.#wake?.();
  }

  /** Yields messages in order until the mailbox is closed and empty. */
  async *receive(): AsyncGenerator<Message> {
    for (;;) {
      while (this.#messages.length > 0) yield this.#messages.shift() as Message;
      if (this.#closed) return;
      await new Promise<void>((resolve) => {
        this.#wake = resolve;
      });
      this.#wake = undefined;
    }
  }
}
