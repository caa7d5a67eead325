import { Command } from 'commander';
import { runCommand } from './runCommand';

/** The command line with the one command that starts processes. @internal */
export function createRunProgram(): Command {
  return new Command('berylwood').addCommand(runCommand());
}
