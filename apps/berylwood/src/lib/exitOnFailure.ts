import { CommandError } from './CommandError';
import { ExitCode } from './ExitCode';

/** Ends the process with the exit code of the error if the promise is rejected. @internal */
export function exitOnFailure(promise: Promise<void>): void {
  promise.catch((error: unknown) => {
    const isExpected = error instanceof CommandError;
    process.stderr.write(`${isExpected ? error.message : String(error)}\n`);
    process.exit(isExpected ? error.exitCode : ExitCode.Fault);
  });
}
