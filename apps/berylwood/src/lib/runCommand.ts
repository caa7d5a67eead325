import { Command } from 'commander';

/** Creates the command `run`, which starts the roles in a settings file. @internal */
export function runCommand(): Command {
  return new Command('run')
    .description('start the roles of a settings file')
    .requiredOption('--settings <file>', 'settings in TOML')
    .action(async ({ settings }: { settings: string }) => {
      const [{ runProcess }, { allRoles }] = await Promise.all([
        import('./runProcess'),
        import('./allRoles'),
      ]);
      await runProcess(settings, allRoles);
    });
}
