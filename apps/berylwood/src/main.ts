import './lib/installSighupHandler';
import { createRunProgram } from './lib/createRunProgram';
import { exitOnFailure } from './lib/exitOnFailure';

/** Parses the command line. `run` starts faster without loading the code of the other commands. */
async function parse(): Promise<void> {
  const isRun = process.argv[2] === 'run';
  const program = isRun
    ? createRunProgram()
    : (await import('./lib/createProgram')).createProgram();
  await program.parseAsync(process.argv);
}

exitOnFailure(parse());
