import { Command } from 'commander';

/** Version of the build; the bundler fills it in. */
const VERSION = process.env.BERYLWOOD_VERSION ?? 'development';

/** Creates the command line with all its commands. @internal */
export function createProgram(): Command {
  return new Command('berylwood')
    .description('Router for language-model traffic with service levels and priorities')
    .version(VERSION);
}
