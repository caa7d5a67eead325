import { spawn, type ChildProcess as NodeChild } from 'node:child_process';
import { closeSync, fstatSync, openSync, readFileSync } from 'node:fs';
import { findUnstructuredLines } from './findUnstructuredLines';

/** Options of a process under test. @public */
export interface ChildOptions {
  readonly name: string;
  readonly binary: string;
  readonly args: readonly string[];
  /** Variables of the environment besides those of this process. */
  readonly env?: Readonly<Record<string, string>>;
  /** File to which standard output and standard error are appended. */
  readonly log: string;
}

/** How a process ended. @public */
export interface Exit {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** One run of a process. */
interface Run {
  readonly child: NodeChild;
  /** Position in the file at which its output begins. */
  readonly outputStart: number;
}

/** A process under test that can be killed, frozen and started again. @public */
export class ChildProcess {
  readonly name: string;

  readonly #options: ChildOptions;

  readonly #runs: Run[] = [];

  readonly #expectedLines: string[] = [];

  #exit: Promise<Exit> | undefined;

  constructor(options: ChildOptions) {
    this.name = options.name;
    this.#options = options;
  }

  get #child(): NodeChild | undefined {
    return this.#runs.at(-1)?.child;
  }

  get isRunning(): boolean {
    const child = this.#child;
    return child !== undefined && child.exitCode === null && !child.signalCode;
  }

  get pid(): number | undefined {
    return this.#child?.pid;
  }

  start(): void {
    const { binary, args, env, log } = this.#options;
    const output = openSync(log, 'a');
    const outputStart = fstatSync(output).size;
    const child = spawn(binary, args, {
      env: { ...process.env, ...env },
      // A file holds the whole output once the process has ended, unlike a pipe.
      stdio: ['ignore', output, output],
    });
    closeSync(output);
    this.#runs.push({ child, outputStart });
    this.#exit = new Promise((resolve) => {
      child.once('exit', (code, signal) => resolve({ code, signal }));
    });
  }

  /** Sends a signal without waiting. */
  signal(signal: NodeJS.Signals): void {
    this.#child?.kill(signal);
  }

  /** Waits until the process has ended by itself. */
  async waitForExit(): Promise<Exit | undefined> {
    return this.#exit;
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

  /** Expects one line that is no log line, such as the command line's reason not to start a process. */
  expectLine(line: string): void {
    this.#expectedLines.push(line);
  }

  /** Returns the lines of the output of all runs, which must have ended, that are neither log lines nor expected. */
  findUnexpectedLines(): string[] {
    if (this.#runs.length === 0) return [];
    const output = readFileSync(this.#options.log);
    const lines = this.#runs.flatMap(({ child, outputStart }, at) => {
      const text = output.subarray(outputStart, this.#runs[at + 1]?.outputStart).toString();
      return findUnstructuredLines(text, child.signalCode === 'SIGKILL');
    });
    for (const line of this.#expectedLines) {
      const at = lines.indexOf(line);
      if (at < 0) lines.push(`missing: ${line}`);
      else lines.splice(at, 1);
    }
    return lines;
  }

  freeze(): void {
    this.signal('SIGSTOP');
  }

  thaw(): void {
    this.signal('SIGCONT');
  }
}
