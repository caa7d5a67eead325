import { randomBytes } from 'node:crypto';
import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { hashSecret } from '@berylwood/control';
import { asWorkspaceId, createKeyId, type KeyId } from '@berylwood/schema';
import { Command } from 'commander';
import { ExitCode } from './ExitCode';
import { CommandError } from './CommandError';
import {
  addChangeOptions,
  addOperatorOptions,
  callControl,
  resolveChangeId,
  print,
  type OperatorOptions,
} from './operatorOptions';
import { waitInForce } from './waitInForce';

const SECRET_BYTES = 24;

/** Only the owner may read the secret file. */
const SECRET_MODE = 0o600;

interface GiveKeyOptions extends OperatorOptions {
  readonly secretFile?: string;
}

/**
 * Returns the secret in the secret file, if an earlier attempt wrote one. Otherwise creates a new secret
 * and writes it to the file.
 */
function chooseSecret({ secretFile }: GiveKeyOptions): string {
  if (secretFile && existsSync(secretFile)) return readFileSync(secretFile, 'utf8').trim();
  const secret = `bw-${randomBytes(SECRET_BYTES).toString('hex')}`;
  if (secretFile) writeFileSync(secretFile, `${secret}\n`, { mode: SECRET_MODE, flag: 'wx' });
  return secret;
}

async function giveKey(workspace: string, options: GiveKeyOptions): Promise<void> {
  const secret = chooseSecret(options);
  const hash = hashSecret(secret);
  const change = await resolveChangeId(options);
  const record = { key: createKeyId(), hash, workspace: asWorkspaceId(workspace) };
  const created = await callControl(options, (client) => client.giveKey.mutate({ change, record }));
  await waitInForce(options, created.index);
  const { key, hash: storedHash } = created.key ?? record;
  if (storedHash !== hash) {
    const message = `${key} was created by an earlier send of ${change}, and its secret is not available; withdraw the key, or resend with the original --secret-file`;
    throw new CommandError(ExitCode.Refused, message);
  }
  const { index } = created;
  print(options, { key, secret, change, index, inForce: true }, `${key} ${secret}`);
}

async function withdrawKey(key: KeyId, options: OperatorOptions): Promise<void> {
  const change = await resolveChangeId(options);
  const { index } = await callControl(options, (client) =>
    client.withdrawKey.mutate({ change, key }),
  );
  await waitInForce(options, index);
  print(options, { change, index, inForce: true }, `${key} is withdrawn everywhere`);
}

/** Creates the command `keys give|withdraw|list`. @internal */
export function keysCommand(): Command {
  const keys = new Command('keys').description('keys of the workspaces');
  addChangeOptions(keys.command('give <workspace>'))
    .description('create a key and show it once')
    .option('--secret-file <file>', 'file for the secret, written before the key is created')
    .action(giveKey);
  addChangeOptions(keys.command('withdraw <key>'))
    .description('withdraw a key by its id')
    .action(withdrawKey);
  addOperatorOptions(keys.command('list'))
    .description('keys in force, without their secrets')
    .action(async (options: OperatorOptions) => {
      const listed = await callControl(options, (client) => client.listKeys.query());
      const lines = listed.map(({ key, workspace }) => `${key} ${workspace}`);
      print(options, listed, lines.join('\n'));
    });
  return keys;
}
