import { DisposableStore } from './DisposableStore';
import { Mailbox } from './Mailbox';

/** Messages a task holds before senders are refused. */
const DEFAULT_CAPACITY = 4096;

/**
 * A unit of concurrency that owns its sockets and state and handles one message at a time.
 * The supervisor starts it, learns of its failure through the promise of `run`, and stops it.
 * @public
 */
export abstract class Task<Message = never> {
  abstract readonly name: string;

  protected readonly mailbox: Mailbox<Message>;

  /** What the task owns; disposed after it has ended. */
  protected readonly store = new DisposableStore();

  constructor(capacity = DEFAULT_CAPACITY) {
    this.mailbox = new Mailbox(capacity);
  }

  /** Sends a message; false when the mailbox is full or closed. */
  post(message: Message): boolean {
    return this.mailbox.post(message);
  }

  /** Acquires sockets and subscriptions; a rejection counts as a failed start. */
  async start(): Promise<void> {
    // Nothing to acquire by default.
  }

  /** Handles one message; a rejection ends the task as failed. */
  protected abstract handle(message: Message): Promise<void> | void;

  /** Handles messages until the task is stopped. */
  async run(): Promise<void> {
    for await (const message of this.mailbox.receive()) await this.handle(message);
  }

  /** Ends the task: messages that have arrived are handled, then what it owns is released. */
  async stop(): Promise<void> {
    this.mailbox.close();
    this.store[Symbol.dispose]();
  }
}
