import { Command } from 'commander';
import { runCommand } from './runCommand';

/** Creates the command line with only the `run` command. @internal */
export function createRunProgram(): Command {
  return new Command('berylwood').addCommand(runCommand());
}
