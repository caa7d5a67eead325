import { DisposableStore } from './DisposableStore';
import { Mailbox } from './Mailbox';

/** Maximum number of queued messages; further messages are rejected. */
const DEFAULT_CAPACITY = 4096;

/**
 * A unit of concurrency that owns its sockets and state and handles one message at a time.
 * The supervisor starts and stops it, and detects its failure by the rejection of `run`.
 * @public
 */
export abstract class Task<Message = never> {
  abstract readonly name: string;

  protected readonly mailbox: Mailbox<Message>;

  /** Resources owned by the task, disposed by `stop`. */
  protected readonly store = new DisposableStore();

  constructor(capacity = DEFAULT_CAPACITY) {
    this.mailbox = new Mailbox(capacity);
  }

  /** Queues a message. Returns false if the mailbox is full or closed. */
  post(message: Message): boolean {
    return this.mailbox.post(message);
  }

  /** Acquires sockets and subscriptions. A rejection means that the start failed. */
  async start(): Promise<void> {
    // Nothing to acquire by default.
  }

  /** Handles one message. An error makes `run` reject, so that the task counts as failed. */
  protected abstract handle(message: Message): Promise<void> | void;

  /** Handles messages until the task is stopped. */
  async run(): Promise<void> {
    for await (const message of this.mailbox.receive()) await this.handle(message);
  }

  /** Closes the mailbox and disposes the task's resources; `run` ends after the queued messages. */
  async stop(): Promise<void> {
    this.mailbox.close();
    this.store[Symbol.dispose]();
  }
}
