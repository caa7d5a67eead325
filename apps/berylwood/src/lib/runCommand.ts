import { Command, Option } from 'commander';

/** The command that starts the roles of a settings file. @internal */
export function runCommand(): Command {
  return new Command('run')
    .description('start the roles of a settings file')
    .addOption(
      new Option('--settings <file>', 'settings in TOML')
        .env('BERYLWOOD_CONFIG')
        .makeOptionMandatory(),
    )
    .action(async ({ settings }: { settings: string }) => {
      const { runProcess } = await import('./runProcess');
      await runProcess(settings);
    });
}
