import './lib/hangUps';
import { CommandError } from './lib/CommandError';
import { ExitCode } from './lib/codes';
import { createProgram } from './lib/createProgram';

createProgram()
  .parseAsync(process.argv)
  .catch((error: unknown) => {
    const isExpected = error instanceof CommandError;
    process.stderr.write(`${isExpected ? error.message : String(error)}\n`);
    process.exit(isExpected ? error.exitCode : ExitCode.Fault);
  });
