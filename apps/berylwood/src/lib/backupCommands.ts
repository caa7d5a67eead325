import { readFileSync, writeFileSync } from 'node:fs';
import { Command } from 'commander';
import { addOperatorOptions, callControl, print, type OperatorOptions } from './operatorOptions';

/** Only the owner may read a backup, which contains key hashes and stored responses. */
const BACKUP_MODE = 0o600;

/** Creates the commands `backup` and `restore`. @internal */
export function backupCommands(): Command[] {
  const backup = addOperatorOptions(new Command('backup').argument('<file>'))
    .description('write the state of the control group to a new file')
    .action(async (file: string, options: OperatorOptions) => {
      const bytes = Buffer.from(
        await callControl(options, (client) => client.backup.query()),
        'base64',
      );
      writeFileSync(file, bytes, { mode: BACKUP_MODE, flag: 'wx' });
      print(options, { file, bytes: bytes.byteLength }, `${bytes.byteLength} bytes in ${file}`);
    });
  const restore = addOperatorOptions(new Command('restore').argument('<file>'))
    .description('put a backup into a new control group')
    .action(async (file: string, options: OperatorOptions) => {
      const content = readFileSync(file).toString('base64');
      const restored = await callControl(options, (client) =>
        client.restore.mutate({ backup: content }),
      );
      const { revision, fence } = restored;
      print(options, restored, `restored as revision ${revision}, fencing number ${fence}`);
    });
  return [backup, restore];
}
