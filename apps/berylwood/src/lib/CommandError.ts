import type { ExitCode } from './ExitCode';

/** Ends a command with an exit code; the message is printed on standard error. @internal */
export class CommandError extends Error {
  readonly exitCode: ExitCode;

  constructor(exitCode: ExitCode, message: string) {
    super(message);
    this.exitCode = exitCode;
  }
}
