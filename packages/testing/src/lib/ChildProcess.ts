import { spawn, type ChildProcess as NodeChild } from 'node:child_process';
import { createWriteStream } from 'node:fs';

/** Options of a process under test. @public */
export interface ChildOptions {
  readonly name: string;
  readonly binary: string;
  readonly args: readonly string[];
  /** File that gets the process's log. */
  readonly log: string;
}

/** How a process ended. @public */
export interface Exit {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** A process under test that can be killed, frozen and started again. @public */
export class ChildProcess {
  readonly name: string;

  readonly #options: ChildOptions;

  #child: NodeChild | undefined;

  #exit: Promise<Exit> | undefined;

  constructor(options: ChildOptions) {
    this.name = options.name;
    this.#options = options;
  }

  get isRunning(): boolean {
    return this.#child !== undefined && this.#child.exitCode === null && !this.#child.signalCode;
  }

  get pid(): number | undefined {
    return this.#child?.pid;
  }

  start(): void {
    const { binary, args, log } = this.#options;
    const child = spawn(binary, args, { stdio: ['ignore', 'ignore', 'pipe'] });
    child.stderr.pipe(createWriteStream(log, { flags: 'a' }));
    this.#child = child;
    this.#exit = new Promise((resolve) => {
      child.once('exit', (code, signal) => resolve({ code, signal }));
    });
  }

  /** Sends a signal without waiting. */
  signal(signal: NodeJS.Signals): void {
    this.#child?.kill(signal);
  }

  /** Ends the process without warning and waits for its end. */
  async kill(): Promise<Exit | undefined> {
    if (this.isRunning) this.signal('SIGKILL');
    return this.#exit;
  }

  /** Asks the process to shut down and waits for its end. */
  async stop(): Promise<Exit | undefined> {
    if (this.isRunning) this.signal('SIGTERM');
    return this.#exit;
  }

  freeze(): void {
    this.signal('SIGSTOP');
  }

  thaw(): void {
    this.signal('SIGCONT');
  }
}
